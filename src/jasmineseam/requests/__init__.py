"""Requests: their keys, outcomes and deadlines, and the ledger that runs a key at most once."""

"""Requests: keys, outcomes, deadlines, and the ledger that runs each key at most once."""

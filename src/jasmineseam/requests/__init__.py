"""Requests: idempotency keys, outcomes, and the ledger that runs each key at most once."""

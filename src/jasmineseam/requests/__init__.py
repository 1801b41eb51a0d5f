"""Requests: idempotency keys, the ledger that prevents repeated runs, headers and outcomes."""

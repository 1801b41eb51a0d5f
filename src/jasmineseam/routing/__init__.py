"""Routing: server selection, admission control, queueing, retries and hedging."""

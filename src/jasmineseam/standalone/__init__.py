"""Clients of the services of a standalone deployment: the append-only log and the VM list."""

"""Adapters to the platform's services: the append-only log and the list of VMs."""

"""Clients of a stand-alone deployment's services: the append-only log and the list of VMs."""

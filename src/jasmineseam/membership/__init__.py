"""Membership: which entry VMs and which backend servers exist, and which of them are leaving."""

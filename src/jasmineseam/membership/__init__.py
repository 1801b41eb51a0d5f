"""Membership: the existing entry VMs and backend servers, and which of them are leaving."""

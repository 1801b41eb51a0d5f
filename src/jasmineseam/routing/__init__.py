"""Routing: which server gets a request, and what is queued, refused, repeated or hedged."""

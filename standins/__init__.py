"""Stand-ins for what is outside: the platform, backend servers, and callers. For tests only."""

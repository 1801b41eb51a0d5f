"""Stand-ins for external systems: the platform, backend servers and callers. For tests only."""

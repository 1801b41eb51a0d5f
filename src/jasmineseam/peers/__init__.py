"""Messages and links between the system's own processes."""

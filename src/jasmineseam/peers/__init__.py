"""Messages between the processes of the system, and their transport over ZeroMQ."""

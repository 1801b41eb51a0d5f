"""Settings, logs, metrics, state dumps, and the start and stop of processes."""

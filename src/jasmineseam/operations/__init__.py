"""What operators meet: settings, logs, metrics, state dumps, and the life of a process."""

"""The catalogue: definitions of services, which operators publish to one ordered log."""

"""The catalogue: entries that operators publish, read from one ordered log."""

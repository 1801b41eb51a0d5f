"""The catalogue: entries published by operators, folded from one ordered log."""

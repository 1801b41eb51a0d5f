"""Daemons and command-line programs, with the components that they consist of."""

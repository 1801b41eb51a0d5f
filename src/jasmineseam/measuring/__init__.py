"""Measuring: load reports that answers carry, and the budget that probes must keep."""

"""Load measurement: load reports in responses, and the budgets and assignment of probes."""

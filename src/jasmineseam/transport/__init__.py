"""HTTP connections from callers and to backend servers."""

"""HTTP connections to backend servers."""

"""Process-level runs: demo, soak, load bench and slopes. Not part of the product."""

"""Demonstrations, soak tests, benchmarks and simulations. Not part of the product."""

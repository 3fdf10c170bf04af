"""Load generation, benchmarks and simulations."""

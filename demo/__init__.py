"""The demonstration."""

"""Decision logic without input or output."""

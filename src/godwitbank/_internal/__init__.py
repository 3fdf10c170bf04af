"""Private implementation of godwitbank."""

"""Real processes under failure."""

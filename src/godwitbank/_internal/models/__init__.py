"""Plain data shared by the processes."""

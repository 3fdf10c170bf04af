"""Load, experiments and slopes."""

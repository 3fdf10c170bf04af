"""A decision lab: the real cores under load, all in one clock."""

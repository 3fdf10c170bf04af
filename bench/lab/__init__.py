"""Simulates the real cores under load, all on one simulated clock."""

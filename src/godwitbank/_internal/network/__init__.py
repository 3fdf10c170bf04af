"""Streams between processes, and clients of external services."""

"""Streams between processes and clients of outside services."""

"""Decisions about leased runs, free of input and output."""

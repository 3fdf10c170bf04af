"""Helpers of the second review's scripts."""

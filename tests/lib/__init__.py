"""Helpers shared by the tests."""

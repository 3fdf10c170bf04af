"""Adapter to the platform godwitbank runs on: names, formats and calls.

Nothing in here decides, and nothing outside knows the platform's names.
"""

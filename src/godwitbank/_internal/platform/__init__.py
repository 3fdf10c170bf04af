"""Adapter between godwitbank and the platform that it runs on.

It holds the platform's names, data formats and calls. Scheduling decisions are made
elsewhere, and no other package uses the platform's names.
"""

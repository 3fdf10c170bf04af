"""Tests of the cores for leased runs."""

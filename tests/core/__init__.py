"""Tests of the cores."""

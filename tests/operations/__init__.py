"""Tests of the processes around the cores."""

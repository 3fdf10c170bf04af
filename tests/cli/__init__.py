"""Tests of the command line's frame."""

"""Tests of the measurements and of the lab."""

"""Tests of real processes under failures."""

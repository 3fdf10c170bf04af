"""Tests of the shells."""

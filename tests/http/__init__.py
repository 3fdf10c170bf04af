"""Tests of the HTTP faces."""

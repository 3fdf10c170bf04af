"""Tests of the HTTP interfaces."""

"""Tests; folders mirror the package."""

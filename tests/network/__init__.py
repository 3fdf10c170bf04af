"""Tests of streams and clients."""

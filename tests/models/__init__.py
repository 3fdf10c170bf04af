"""Tests of the models."""

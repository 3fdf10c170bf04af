"""Tests of the measurements and the decision lab."""

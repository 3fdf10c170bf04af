"""Tests of the adapter, and of the programs as the platform starts them."""

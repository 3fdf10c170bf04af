"""Tests of the platform adapter, and of the processes as the platform starts them."""

"""Small helpers without a better home."""

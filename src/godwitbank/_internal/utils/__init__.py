"""General helpers for decoding JSON and reading TOML tables."""

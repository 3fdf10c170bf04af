"""Command line framework: flags, logging, exit statuses and entry points."""

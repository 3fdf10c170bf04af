"""The frame of the command line."""

"""A dispatcher for sub-second tasks.

The package promises only its commands; everything below ``_internal`` may
change without notice.
"""

__version__ = "0.1.0"

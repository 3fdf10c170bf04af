"""A randomized soak: real processes, faults from outside, promises checked.

``python -m soak --seeds 50`` plays fifty seeds, ``--first N`` from another one.
"""

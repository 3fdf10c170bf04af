"""A randomized soak test of real processes under injected faults.

Each seed determines a series of faults. After it, the guarantees are checked against
what callers and endpoints recorded. ``python -m soak --seeds 50`` runs fifty seeds;
``--first N`` sets the first one.
"""

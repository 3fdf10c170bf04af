"""Which mechanisms the cores use, so that each can be tried without the others.

Operators don't set this: what is on by default is what measured best. The decision lab
(``bench/lab``) switches mechanisms off one by one to tell what each is worth.
"""

from typing import NamedTuple


class Policy(NamedTuple):
    """The mechanisms, each on by default."""

    moves: bool = True
    """Move runs off slow endpoints."""

    ejection: bool = True
    """Give no work to endpoints that fail what they start."""

    parking: bool = True
    """Let a task that smaller ones have passed wait at one agent for room."""

    late_last: bool = True
    """Let late work wait behind all timely work."""

    mended_estimates: bool = True
    """Mend callers' guesses by the run times that were observed."""

    fullness: bool = True
    """Prefer emptier endpoints, as other entries place at the same moment."""

    wait_for_brisk: bool = True
    """Let a task wait where a slow endpoint has room but would end it too late."""

    slow_last: bool = True
    """Use slow endpoints only when no other has room, now or soon."""

    arrival_bound: bool = True
    """While no endpoint is there, take only jobs that can wait for one."""

    small_first: bool = True
    """Let less wait before a large job of a queue than before a small one."""

    drain_bound: bool = True
    """Refuse while more waits than drains in ``MAX_DRAIN_SECONDS``."""


DEFAULT_POLICY = Policy()

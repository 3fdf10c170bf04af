"""Switches for the optional mechanisms of the cores.

Each mechanism can be disabled without affecting the others. Operators don't set these
switches: the defaults are the combination that measured best. The benchmark lab
(``bench/lab``) disables mechanisms one at a time to measure what each contributes.
"""

from typing import NamedTuple


class Policy(NamedTuple):
    """The mechanisms, each enabled by default."""

    moves: bool = True
    """Move runs off slow endpoints."""

    ejection: bool = True
    """Send no work to endpoints whose runs keep failing."""

    parking: bool = True
    """Park a task at one agent until it fits there, once smaller ones overtook it."""

    late_last: bool = True
    """Schedule late tasks after all tasks that are still on time."""

    mended_estimates: bool = True
    """Correct the callers' run time estimates by the observed run times."""

    fullness: bool = True
    """Prefer less loaded endpoints, because other entries place tasks concurrently."""

    wait_for_brisk: bool = True
    """Keep a task waiting if only slow endpoints are free and would finish it late."""

    slow_last: bool = True
    """Use slow endpoints only when no other has capacity, now or soon."""

    arrival_bound: bool = True
    """While no endpoint is available, accept only jobs that can wait for one."""

    reservations: bool = True
    """Ask agents to keep capacity for urgent tasks that found none."""

    preemption: bool = True
    """Stop runs of less urgent work for urgent runs that would be late."""

    small_first: bool = True
    """Allow a shorter backlog ahead of a queue's large jobs than of its small ones."""

    drain_bound: bool = True
    """Refuse jobs while the backlog takes over ``MAX_DRAIN_SECONDS`` to drain."""


DEFAULT_POLICY = Policy()

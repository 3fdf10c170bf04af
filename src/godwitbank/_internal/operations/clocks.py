"""The clock used for leases and timeouts."""

import time


def read_boot_time() -> float:
    """Return the seconds since the VM booted, including time spent suspended.

    ``CLOCK_MONOTONIC`` doesn't advance while a VM is suspended. With it, a resumed
    process would treat leases and peer timeouts that expired during the suspension
    as if only seconds had passed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

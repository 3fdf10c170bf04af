"""The clock that decisions are made by."""

import time


def read_boot_time() -> float:
    """Read seconds since the VM booted, time spent suspended included.

    The monotonic clock stands still while a VM is suspended: a process that
    wakes up would take its leases and its peers' silence for seconds old when
    they ended long ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

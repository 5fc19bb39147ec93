"""Clock that goes on while the machine is suspended."""

import time
from typing import Final

_BOOT_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_boot_clock() -> float:
    """Return the seconds since the machine booted.

    Unlike the monotonic clock, it counts the time for which the machine was suspended, so that
    what was known before does not look new afterwards. Where the system has no such clock, this is
    the monotonic one.
    """
    return time.clock_gettime(_BOOT_CLOCK)

"""The memory budget that all listeners of a process share."""

import resource
from typing import Protocol

from chivetrack.components.memory.budget import MemoryBudget, make_budget
from chivetrack.components.memory.const import MEGABYTE
from chivetrack.helpers.allocator import return_large_blocks


class MachineLimits(Protocol):
    """What the settings say of the machine."""

    @property
    def memory_mb(self) -> int:
        """Return the memory of the machine, in MB."""

    @property
    def max_descriptors(self) -> int:
        """Return the number of file descriptors."""


def open_budget(limits: MachineLimits) -> MemoryBudget:
    """Return the budget of this process; the system may allow fewer descriptors."""
    return_large_blocks()
    max_descriptors = limits.max_descriptors
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed != resource.RLIM_INFINITY:
        max_descriptors = min(max_descriptors, allowed)
    return make_budget(memory_bytes=limits.memory_mb * MEGABYTE, max_descriptors=max_descriptors)

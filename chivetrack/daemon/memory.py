"""The memory budget that all listeners of a process share."""

import resource

from chivetrack.components.memory.budget import MemoryBudget, make_budget
from chivetrack.components.memory.const import MEGABYTE
from chivetrack.helpers.allocator import return_large_blocks


def open_budget(*, memory_mb: int, max_descriptors: int) -> MemoryBudget:
    """Return the budget on a machine with so much memory; the system may allow less descriptors."""
    return_large_blocks()
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed != resource.RLIM_INFINITY:
        max_descriptors = min(max_descriptors, allowed)
    return make_budget(memory_bytes=memory_mb * MEGABYTE, max_descriptors=max_descriptors)

"""Settings of the C library's memory allocator."""

import ctypes
from typing import Final

MMAP_THRESHOLD_BYTES: Final = 128 * 1024
_M_MMAP_THRESHOLD: Final = -3


def return_large_blocks() -> None:
    """Let the allocator give large blocks back to the system as soon as they are freed.

    By default, the first large block that is freed raises the size from which on blocks are given
    back. Bodies of callers then share a heap that keeps the gaps between them, and a process may
    hold twice the memory that it uses. Does nothing where the C library has no such setting.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)

"""Constants of the memory budget."""

from typing import Final

from chivetrack.const import KIBIBYTE

MEGABYTE: Final = 1_000_000

DEFAULT_MEMORY_MB: Final = 256
"""Memory of the machine if the settings do not name it."""

DEFAULT_MAX_DESCRIPTORS: Final = 4096

BUDGET_SHARE: Final = 0.5
"""Part of the machine's memory for connections. The other half is for the process itself, which
grows with the fleet, and for what the allocator keeps."""

CONNECTION_BYTES: Final = 48 * KIBIBYTE
"""What an open connection holds without a body: its objects, a short head and what the system has
received and nobody has read, which ``RECEIVE_BUFFER_BYTES`` bounds."""

RECEIVE_BUFFER_BYTES: Final = 32 * KIBIBYTE
"""Asked of the system for each connection, which may grant twice as much. Unbounded, the buffer of
a connection that nobody reads grows to megabytes."""

SMALL_BYTES: Final = 64 * KIBIBYTE
"""Requests up to this size never wait for large ones."""

SMALL_SHARE: Final = 0.125
"""Part of the budget that only small requests and new connections may use."""

STALLED_AFTER_S: Final = 1.0
"""A request of which less than a block arrives within this time gives way first."""

RETRY_AFTER_S: Final = 0.5
"""Time until a request that had to give way may find room; other instances may have some now."""

DESCRIPTOR_SHARE: Final = 0.75
"""Part of the descriptors for connections that others have opened."""

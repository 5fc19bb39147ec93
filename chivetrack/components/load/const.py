"""Constants of the load component."""

from typing import Final

COUNTS_INTERVAL_S: Final = 0.2
"""How often a router should send its counts to the others."""

PEER_SILENCE_S: Final = 3.0
"""Counts of a router that was silent for so long are no longer used."""

REPORT_MAX_AGE_S: Final = 10.0
"""An engine's own load report that is older than this is no longer used."""

HISTORY_S: Final = 12.0
"""How far back a router remembers its own counts, to set them against a report."""

MAX_TOMBSTONES: Final = 1024
"""How many dead routers are remembered, so that their late counts are refused."""

"""Constants of the load component."""

from typing import Final

SEND_RATE_PER_S: Final = 3.5
"""Messages with counts a second to each other router, at most, in the long run."""

SEND_BURST: Final = 4.0
"""Messages with counts that may follow each other at once."""

FINISH_DELAY_S: Final = 0.2
"""How long the news that a request is over may wait to go with other news."""

HEARTBEAT_S: Final = 1.0
"""Counts are sent this often without news, or the others would call it silence."""

PEER_SILENCE_S: Final = 3.0
"""Counts of a router that was silent for so long are no longer used."""

SCOPED_SILENCE_S: Final = 6.0
"""The same for a router that tells its counts to the owners of endpoints only."""

REPORT_MAX_AGE_S: Final = 10.0
"""An engine's own load report that is older than this is no longer used."""

HISTORY_S: Final = 12.0
"""How far back a router remembers its own counts, to set them against a report."""

MAX_TOMBSTONES: Final = 1024
"""How many dead routers are remembered, so that their late counts are refused."""

RESERVATION_MAX_S: Final = 2.0
"""A granted slot of which nothing is heard for so long is free again."""

SUMMARY_WARM_UP_S: Final = 3.0
"""How long a new owner of an endpoint also believes reports, which lag but are whole."""

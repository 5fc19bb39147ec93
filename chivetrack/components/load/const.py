"""Constants of the load component."""

from typing import Final

SEND_RATE_PER_S: Final = 3.5
"""Most messages with counts to each other router, per second in the long-term mean."""

SEND_BURST: Final = 4.0
"""Most messages with counts in immediate succession."""

FINISH_DELAY_S: Final = 0.2
"""Delay of the report of a finished request, so that it is sent with other changes."""

HEARTBEAT_S: Final = 1.0
"""Interval in seconds at which unchanged counts are sent; without them the others would treat
this router as silent.
"""

PEER_SILENCE_S: Final = 3.0
"""Age in seconds from which the counts of a router are not used: the router is silent, which
means that it has sent no counts since.
"""

SCOPED_SILENCE_S: Final = 6.0
"""The same for a router that sends its counts to the owners of endpoints only."""

REPORT_MAX_AGE_S: Final = 10.0
"""Age in seconds from which the load report of an engine is not used."""

HISTORY_S: Final = 12.0
"""Time in seconds for which a router keeps its own past counts, to subtract them from reports."""

MAX_TOMBSTONES: Final = 1024
"""Most dead routers that are kept, so that their late counts are rejected."""

RESERVATION_MAX_S: Final = 2.0
"""Time in seconds after which a reservation expires if no counts have included it."""

SUMMARY_WARM_UP_S: Final = 3.0
"""Time in seconds for which a new owner of an endpoint also uses reports, which lag but cover
the requests of all routers.
"""

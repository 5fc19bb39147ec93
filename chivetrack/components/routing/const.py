"""Constants of the routing component."""

from typing import Final

GROUP_COUNT: Final = 64
"""Number of groups into which endpoints are hashed, see ``order``.

It must be the same on all routers and must never change.
"""

SLOW_START_S: Final = 30.0
"""Time in seconds from the start of a new endpoint until its full limit applies."""

SLOW_START_FLOOR: Final = 0.2
"""Share of its limit that applies to a new endpoint immediately."""

RETRY_WHEN_NONE_FITS_S: Final = 2.0
"""Retry delay for callers when no endpoint fits; about the time until a view is consistent."""

MAX_CANDIDATES: Final = 8
"""Most candidates in the explanation of a placement."""

MAX_POOLS: Final = 256
"""Most cached pools of fitting endpoints for one version of the view."""

HINT_CAPACITY: Final = 65_536
"""Most chats for which a router keeps cache hints."""

HINT_MAX_AGE_S: Final = 1800.0
"""Age in seconds from which a cache hint is not used."""

HINT_HOLDERS: Final = 3
"""Most endpoints that are kept for one chat or dossier."""

HINTS_WARM_UP_S: Final = 120.0
"""Time in seconds for which a router receives cache events before it treats a chat without a
hint as cold.
"""

HINTS_SILENCE_S: Final = 15.0
"""Time in seconds without any cache event after which no chat counts as cold."""

COLD_HEADROOM: Final = 0.2
"""Share of the headroom between the mean and the bound that a cold chat may use."""

MAX_QUERIED_ENDPOINTS: Final = 4
"""Most endpoints for which a slot is requested before the router chooses by its estimates."""

SLOT_REQUEST_TIMEOUT_S: Final = 0.05
"""Time in seconds that an owner has to answer; the usual time is a hundredth of it."""

AVOID_OWNER_S: Final = 2.0
"""Time in seconds for which no requests are sent to an owner that did not answer."""

START_REPORT_DELAY_S: Final = 1.0
FINISH_REPORT_DELAY_S: Final = 0.2
"""Delay of the report of a start or a finish to the owner of the endpoint.

The delay of a start must be less than half of ``RESERVATION_MAX_S``, since the reservation
represents the request until the report arrives.
"""

OWNER_HEARTBEAT_S: Final = 2.0
"""Interval at which counts that are not zero are sent again; see ``SCOPED_SILENCE_S``."""

"""Constants of the routing component."""

from typing import Final

GROUP_COUNT: Final = 64
"""Groups into which endpoints are hashed; see ``order``. Equal on all routers for ever."""

SLOW_START_S: Final = 30.0
"""How long a new endpoint takes to reach its full limit."""

SLOW_START_FLOOR: Final = 0.2
"""The share of its limit that a new endpoint has at once."""

RETRY_WHEN_NONE_FITS_S: Final = 2.0
"""When to come back if no endpoint fits: about what a view takes to settle."""

MAX_CANDIDATES: Final = 8
"""How many candidates an explanation keeps."""

MAX_POOLS: Final = 256
"""How many pools of fitting endpoints are kept for one version of the view."""

HINT_CAPACITY: Final = 65_536
"""How many cache hints a router keeps."""

HINT_MAX_AGE_S: Final = 1800.0
"""A cache hint that is older than this is not used."""

HINT_HOLDERS: Final = 3
"""How many endpoints are remembered for one chat or dossier."""

HINTS_WARM_UP_S: Final = 120.0
"""How long a router listens before a chat without a hint counts as cold."""

HINTS_SILENCE_S: Final = 15.0
"""Without any cache event for so long, no chat counts as cold."""

COLD_HEADROOM: Final = 0.2
"""The share of the bound's headroom above the mean that a cold chat may use."""

MAX_QUERIED_ENDPOINTS: Final = 4
"""Endpoints whose owners are asked for a slot before the choice is made without."""

SLOT_REQUEST_TIMEOUT_S: Final = 0.05
"""How long an owner has to answer; a hundredth of that is usual."""

AVOID_OWNER_S: Final = 2.0
"""How long an owner that did not answer is not asked again."""

START_REPORT_DELAY_S: Final = 1.0
FINISH_REPORT_DELAY_S: Final = 0.2
"""How long the owner of an endpoint waits for the news of a start or a finish.

The first must be less than half of ``RESERVATION_MAX_S``: until the news has come the
reservation stands for the request.
"""

OWNER_HEARTBEAT_S: Final = 2.0
"""Counts that are not zero are told again this often; see ``SCOPED_SILENCE_S``."""

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

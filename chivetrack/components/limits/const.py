"""Constants of the limits component."""

from typing import Final

DEMAND_INTERVAL_S: Final = 0.5
"""How often a router should send its demands to the others."""

SHARE_GROWTH_DELAY_S: Final = 1.5
"""How long a router waits after telling a greater demand before it uses it.

Must exceed the interval and the delay of demands; see ``shares``.
"""

PRIOR_DEMAND_PER_S: Final = 3.0
"""Requests a second that are taken for granted, equally split over the routers.

Sparse demand is measured badly; with this its parts are nearly equal.
"""

DECAY_REQUESTS: Final = 10.0
MIN_DECAY_S: Final = 0.5
MAX_DECAY_S: Final = 5.0
"""Demand is a mean over about so many requests, within these time constants."""

DEMAND_DEAD_BAND: Final = 0.5
"""The part by which a demand must change to be told anew."""

MIN_DEMAND: Final = 0.01
"""Requests a second below which a demand is not worth a message."""

MAX_QUEUED: Final = 512
"""Requests that wait in one router, at most."""

INITIAL_SERVICE_S: Final = 1.0
"""Service time assumed before the first answer."""

SERVICE_TIME_WEIGHT: Final = 0.1
"""Weight of the newest service time in the running mean."""

MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0

RETRY_AFTER_JITTER: Final = 1.0
"""``Retry-After`` is drawn between the wait and the wait times one plus this."""

TICK_S: Final = 0.1
"""How often the limiter looks at its queue while something waits."""

SHARE_WAIT_S: Final = SHARE_GROWTH_DELAY_S + DEMAND_INTERVAL_S
"""How long a workspace that is new to this router waits for its share, at most."""

STATUS_TOO_MANY: Final = 429
STATUS_OVERLOADED: Final = 503

MIN_GATES_TO_PRUNE: Final = 256
"""Workspaces whose counts are kept before idle ones are looked for."""

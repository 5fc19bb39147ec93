"""Constants of the limits component."""

from typing import Final

DEMAND_INTERVAL_S: Final = 0.5
"""Interval at which a router publishes its demands to the other routers."""

SHARE_GROWTH_DELAY_S: Final = 1.5
"""Delay between publishing a higher demand and using the larger share it gives.

Must exceed ``DEMAND_INTERVAL_S`` plus the delivery delay of a demand report; see ``shares``.
"""

PRIOR_DEMAND_PER_S: Final = 3.0
"""Requests per second added to the measured demand and split equally over the routers.

The measured rate of sparse traffic is inaccurate; the prior makes the routers' shares
of such a workspace nearly equal.
"""

DECAY_REQUESTS: Final = 10.0
MIN_DECAY_S: Final = 0.5
MAX_DECAY_S: Final = 5.0
"""Demand is an exponentially decaying mean over about ``DECAY_REQUESTS`` requests.

Its time constant stays between ``MIN_DECAY_S`` and ``MAX_DECAY_S``.
"""

DEMAND_DEAD_BAND: Final = 0.5
"""Relative change of a demand below which the published value is kept."""

MIN_DEMAND: Final = 0.01
"""Requests per second below which a demand is not published."""

MAX_QUEUED: Final = 512
"""Maximum number of requests in one router's queue."""

INITIAL_SERVICE_S: Final = 1.0
"""Service time assumed before the first request has finished."""

SERVICE_TIME_WEIGHT: Final = 0.1
"""Weight of the newest service time in the running mean."""

MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0

RETRY_AFTER_JITTER: Final = 1.0
"""``Retry-After`` is drawn between ``wait`` and ``wait * (1 + RETRY_AFTER_JITTER)``."""

TICK_S: Final = 0.1
"""Interval at which the limiter processes its queue while requests wait."""

SHARE_WAIT_S: Final = SHARE_GROWTH_DELAY_S + DEMAND_INTERVAL_S
"""Longest time until this router gets a share of a workspace's limit."""

STATUS_TOO_MANY: Final = 429
STATUS_OVERLOADED: Final = 503

MIN_GATES_TO_PRUNE: Final = 256
"""Number of workspace gates from which on idle ones are pruned."""

"""Constants of the placement experiment."""

from typing import Final

SERVICE: Final = "model"
REGION: Final = "region"
CAPACITY: Final = 32

SAMPLE_INTERVAL_S: Final = 0.1
WARM_UP_S: Final = 240.0
WARM_UP_SHARE: Final = 0.35
CHURN_INTERVAL_S: Final = 60.0

VIEW_DELAY_S: Final = (0.5, 3.0)
"""Range of the delay until a router is notified that an engine has failed or restarted."""

COUNTS_DELAY_S: Final = (0.001, 0.005)
COUNTS_LOSS: Final = 0.02
COUNTS_LATE_SHARE: Final = 0.05
COUNTS_LATE_S: Final = 0.3

SUMMARY_INTERVAL_S: Final = 1.0
BASE_ROUTERS: Final = 9
"""With more than twice this number of routers, the interval of summaries grows with it."""

REPORT_LOSS: Final = 0.10
EVENT_LOSS: Final = 0.10
EVENT_DELAY_S: Final = (0.5, 2.0)

MESSAGE_OVERHEAD_BYTES: Final = 60
"""Assumed overhead of a message between routers for TCP/IP headers and framing."""

EVENT_BYTES: Final = 16
"""Size of a cache event in a batch: key, kind, engine and time."""

RING_POINTS: Final = 64
PERCENT: Final = 100
MICROSECONDS: Final = 1e6

MAX_EVENT_ENGINES: Final = 50
"""With more engines, sending each cache event to each router exceeds the traffic budget."""

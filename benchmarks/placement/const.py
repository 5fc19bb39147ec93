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
"""How long a router takes to hear that an engine is gone or back."""

COUNTS_DELAY_S: Final = (0.001, 0.005)
COUNTS_LOSS: Final = 0.02
COUNTS_LATE_SHARE: Final = 0.05
COUNTS_LATE_S: Final = 0.3

SUMMARY_INTERVAL_S: Final = 1.0
BASE_ROUTERS: Final = 9
"""With more than twice as many routers, summaries are sent the less often."""

REPORT_LOSS: Final = 0.10
EVENT_LOSS: Final = 0.10
EVENT_DELAY_S: Final = (0.5, 2.0)

MESSAGE_OVERHEAD_BYTES: Final = 60
"""Headers of a message between routers: TCP/IP and framing, an assumption."""

EVENT_BYTES: Final = 16
"""A cache event in a batch: key, kind, engine, time."""

RING_POINTS: Final = 64
PERCENT: Final = 100
MICROSECONDS: Final = 1e6

MAX_EVENT_ENGINES: Final = 50
"""With more engines, telling each cache event to each router costs more than the budget."""

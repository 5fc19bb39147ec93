"""Constants of endpoints."""

from typing import Final

TOPIC_ENDPOINT: Final = "endpoint"
TOPIC_RENEWAL: Final = "renewal"

MIN_LEASE_S: Final = 2.0
MAX_LEASE_S: Final = 60.0
RENEWALS_PER_LEASE: Final = 3

TICK_S: Final = 0.25
# New announcements wait while more ordinary news than this is being sent on.
MAX_BACKLOG: Final = 4
RENEWALS_EVERY_S: Final = 1.0
RENEWALS_REPEAT_S: Final = 2.5

# How long an endpoint that is gone is remembered, so that an older incarnation of it
# is refused and its flapping is counted.
MEMORY_S: Final = 3600.0
MAX_REMEMBERED: Final = 4096

# How long after its lease an endpoint's announcement is taken back from gossip; one that
# comes back soon, or whose renewals were late, would otherwise be spread all over again.
RETRACT_AFTER_S: Final = 60.0

# At most this share of a service's endpoints is held back or broken at a time.
MAX_OUT_SHARE: Final = 0.5

FLAP_LIMIT: Final = 1.5
FLAP_HALF_LIFE_S: Final = 180.0
FLAP_DELAY_S: Final = 5.0
MAX_FLAP_DELAY_S: Final = 300.0

CONNECT_FAILURES: Final = 3
FAILURES: Final = 5
WINDOW_S: Final = 30.0
WINDOW_ATTEMPTS: Final = 20
WINDOW_FAILURE_SHARE: Final = 0.5
OPEN_S: Final = 1.0
MAX_OPEN_S: Final = 60.0
PROBE_TIMEOUT_S: Final = 30.0

# How long an endpoint's own refusal as leaving counts; each refusal renews it.
REFUSAL_S: Final = 30.0

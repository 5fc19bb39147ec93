"""Constants of endpoints."""

from typing import Final

TOPIC_ENDPOINT: Final = "endpoint"
TOPIC_RENEWAL: Final = "renewal"

MIN_LEASE_S: Final = 2.0
MAX_LEASE_S: Final = 60.0
RENEWALS_PER_LEASE: Final = 3

TICK_S: Final = 0.25
# New announcements wait while more ordinary news than this is being sent on.
MAX_PENDING_UPDATES: Final = 4
MIN_RENEWAL_INTERVAL_S: Final = 1.0
RENEWAL_REPEAT_S: Final = 2.5

# How long an endpoint that is gone is remembered, so that an older incarnation of it
# is refused and its flapping is counted.
GONE_RETENTION_S: Final = 3600.0
MAX_GONE_RECORDS: Final = 4096

# How long after its lease an endpoint's announcement is taken back from gossip; one that
# comes back soon, or whose renewals were late, would otherwise be spread all over again.
RETRACT_AFTER_S: Final = 60.0

# At most this share of a service's endpoints is held back or broken at a time.
MAX_UNAVAILABLE_SHARE: Final = 0.5

FLAP_LIMIT: Final = 1.5
FLAP_HALF_LIFE_S: Final = 180.0
FLAP_DELAY_S: Final = 5.0
MAX_FLAP_DELAY_S: Final = 300.0

MAX_CONNECT_FAILURES_IN_ROW: Final = 3
MAX_FAILURES_IN_ROW: Final = 5
WINDOW_S: Final = 30.0
WINDOW_ATTEMPTS: Final = 20
WINDOW_FAILURE_SHARE: Final = 0.5
FIRST_OPEN_S: Final = 1.0
MAX_OPEN_S: Final = 60.0
PROBE_TIMEOUT_S: Final = 30.0

# How long an endpoint's own refusal as leaving counts; each refusal renews it.
REFUSAL_TTL_S: Final = 30.0

FLEET_WINDOW_S: Final = 1.2
"""Four rounds in which routers tell each other; older outcomes are of another state."""

FLEET_FAILURES: Final = 3
FLEET_FAILURE_SHARE: Final = 0.6
"""An endpoint is held back for all once so many and such a share of the fleet's tries
failed in the window. One that fails a share of what it gets is left to the breakers."""

FLEET_HOLD_S: Final = 5.0
"""Without any probe an endpoint is tried again after this much: a crashed one is back, or
given up by its replicas, by then."""

FLEET_PROBE_SHARE: Final = 0.06
"""Of the requests that would go to an endpoint held back: one probe in two seconds at
eight requests a second."""

PEER_COUNTS_TTL_S: Final = 2.0
"""How long what other routers told is believed; they tell every 0.3 s."""

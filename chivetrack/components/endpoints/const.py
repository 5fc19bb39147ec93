"""Constants of endpoints."""

from typing import Final

TOPIC_ENDPOINT: Final = "endpoint"
TOPIC_RENEWAL: Final = "renewal"

MIN_LEASE_S: Final = 2.0
MAX_LEASE_S: Final = 60.0
RENEWALS_PER_LEASE: Final = 3

TICK_S: Final = 0.25
# New announcements are not published while gossip still has to send more updates of
# ordinary urgency than this.
MAX_PENDING_UPDATES: Final = 4
MIN_RENEWAL_INTERVAL_S: Final = 1.0
RENEWAL_REPEAT_S: Final = 2.5

# How long the record of an endpoint without a lease is kept, so that an older incarnation
# of it is rejected and its flaps are counted.
GONE_RETENTION_S: Final = 3600.0
MAX_GONE_RECORDS: Final = 4096

# Delay between the end of a lease and the retraction of the announcement from gossip. With
# a shorter delay, the announcement of an endpoint that returns soon, or whose renewals were
# late, would be sent to all routers again.
RETRACT_AFTER_S: Final = 60.0

# Maximum share of a service's endpoints that are held back or broken at the same time.
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

# How long an endpoint counts as leaving after it refused a request for that reason; each
# refusal starts the time again.
REFUSAL_TTL_S: Final = 30.0

FLEET_WINDOW_S: Final = 1.2
"""Window of outcomes that count: four exchange rounds of the routers. Older outcomes may
describe an earlier state of the endpoint.
"""

FLEET_FAILURES: Final = 3
FLEET_FAILURE_SHARE: Final = 0.6
"""Routers hold an endpoint back once at least FLEET_FAILURES attempts of the fleet, and at
least this share of them, failed in the window. Endpoints with a lower failure share are
left to the circuit breakers.
"""

FLEET_HOLD_S: Final = 5.0
"""An endpoint that gets no probe is released after this time. By then a crashed endpoint
has restarted, or the replicas have removed it.
"""

FLEET_PROBE_SHARE: Final = 0.06
"""Share of the requests to a held-back endpoint that are admitted as probes: one probe
every two seconds at eight requests per second.
"""

PEER_COUNTS_TTL_S: Final = 2.0
"""How long the counts of the other routers stay valid; they are sent every 0.3 s."""

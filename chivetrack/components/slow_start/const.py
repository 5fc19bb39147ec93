"""Constants of slow starts; times in seconds."""

from typing import Final

STARTUP_DELAY_S: Final = 1.0
"""Time after its start for which a replica grants no permits: three rounds of the exchange
between replicas. Before the other replicas have reported their assigned routers, it would use
the rate of the whole fleet for its own routers."""

MAX_EARLY_FRACTION: Final = 0.5
"""A permit that is granted late moves the next one at most this fraction of the interval closer.
A larger fraction would allow bursts of permits from several replicas."""

MAX_PERMIT_WAIT_S: Final = 1.0
"""Longest time after which a refused router requests again; endpoints are cold for a few
seconds."""

FLEET_HALF_LIFE_S: Final = 20.0
"""Half-life of the number of routers that a replica has known. In a network partition a replica
learns only of the routers on its own side. If its share grew at once, the shares of both sides
together would exceed the rate. In a partition of 5 s they grow by a fifth."""

ASSUMED_COLD_S: Final = 2.6
"""Time for which endpoints are assumed cold: two heartbeats of 1.2 s and a margin. By then an
endpoint has reported whether it is cold."""

PERMIT_TIMEOUT_S: Final = 0.05
"""Time that a router waits for its replica's answer before it sends a request elsewhere."""

NO_ANSWER_BACKOFF_S: Final = 0.3
"""Time for which a router skips an endpoint after its replica did not answer."""

MAX_PERMIT_REQUESTS: Final = 2
"""Maximum number of permits requested for one request, which is then sent to an endpoint that
is not cold."""

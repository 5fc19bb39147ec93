"""Constants of the paths from routers to endpoints; times in seconds."""

from typing import Final

TROUBLE_WINDOW_S: Final = 1.5
"""Connections to several endpoints that fail within this time make a router suspect its own path:
its requests reach each endpoint of a small deployment several times in it."""

MIN_TROUBLED_ENDPOINTS: Final = 2
"""Endpoints that seldom fail together on their own; a third opinion comes from a carrier."""

MIN_BROKEN_ENDPOINTS: Final = 2
"""With this many broken paths and no working one to a service, all its paths count as broken."""

VERDICT_S: Final = 1.0
"""For this long, an endpoint that no carrier reached either counts as failed itself."""

PROBE_INTERVAL_S: Final = 0.5
"""Interval at which a router tries a broken path again, with a connection and no request."""

CARRIER_REST_S: Final = 1.0
"""For this long, a carrier that could not be reached or refused is used only if all others did."""

CARRIERS_PER_ANSWER: Final = 4
"""Carriers that a replica names at once; it names others each time, which spreads their load."""

CARRIERS_MAX_AGE_S: Final = 3.0
"""For this long, carriers that a replica named are used without asking it again."""

CARRIERS_WAIT_S: Final = 0.25
"""How long the first request that needs a carrier waits until a replica has named some."""

CARRY_TIMEOUT_S: Final = 0.8
"""Limit for reaching a carrier and for its connection to the endpoint, together."""

MAX_CARRIED: Final = 256
"""Connections that a router carries for others at most; each uses two of its descriptors."""

UNACKNOWLEDGED_S: Final = 0.4
"""A host whose kernel has not acknowledged a request for this long can't be reached: more than
twice the delay to the farthest region and one retransmission."""

MIN_LOST_ENDPOINTS: Final = 2
"""Endpoints of a zone whose connections time out before the zone counts as lost."""

LOST_ZONE_MEMORY_S: Final = 2.0
"""For this long, a lost zone gets no requests without another connection that timed out; probes
try it every ``PROBE_INTERVAL_S``."""

MIN_REACHED_SHARE: Final = 0.25
"""Smallest share of a service's endpoints that may have to do without those of lost zones."""

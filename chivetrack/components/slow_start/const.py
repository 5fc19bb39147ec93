"""Constants of slow starts; times in seconds."""

from typing import Final

STARTUP_DELAY_S: Final = 1.0
"""After its start a replica grants nothing for so long: until the others have told it of the
routers close to them, three rounds of the exchange, it would take its own part for all."""

MAX_EARLY_FRACTION: Final = 0.5
"""Of the time between two permits; one that nobody wanted in time may come so much before
the next. More would let permits of several replicas pile up."""

MAX_PERMIT_WAIT_S: Final = 1.0
"""A router asks again after so long at the latest; endpoints are cold for a few seconds."""

FLEET_HALF_LIFE_S: Final = 20.0
"""A replica that is cut off sees its own routers alone. Were its part to grow at once, the
parts of both sides together would exceed the rate. In a cut of 5 s they grow by a fifth."""

ASSUMED_COLD_S: Final = 2.6
"""Two heartbeats of 1.2 s: by then an endpoint has said whether it is cold."""

PERMIT_TIMEOUT_S: Final = 0.05
"""A router waits so long for its replica's answer before it sends a request elsewhere."""

NO_ANSWER_BACKOFF_S: Final = 0.3
"""A router whose replica did not answer leaves the endpoint out for so long."""

MAX_PERMIT_REQUESTS: Final = 2
"""For one request; then it goes to an endpoint that is not cold."""

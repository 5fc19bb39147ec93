"""Constants of the admission component; times in seconds unless a name says otherwise."""

from typing import Final

MAX_ENDPOINTS: Final = 16
"""Services with more endpoints are not scheduled: many random choices level out over them, and
each request would name all of them."""

LOAD_HALF_LIFE_S: Final = 2.0
LOAD_PRIOR: Final = 1.0
"""Half-life of the load of a service, and how many samples without load are added to it."""

ENGAGED_S: Final = 5.0
"""Time for which a service stays scheduled after its load was last at the limit of the settings."""

ANSWER_TIMEOUT_S: Final = 0.1
"""Time that a router waits for the first answer. A leader in the farthest region answers later:
asking it would delay each request by more than slots save."""

SUSPENDED_S: Final = 1.0
"""Time for which a router sends without slots after a scheduler did not answer."""

WAIT_MARGIN_S: Final = 0.1
"""Time beyond the longest wait that a router allows for the answer's way."""

QUEUED_SHARE: Final = 0.5
"""Requests that may wait at an endpoint, as a share of its slots. Between the end of a request and
the arrival of the next one are two messages and two wake-ups of a router, which may be busy; a
slot would be idle for that time."""

SLOW_FACTOR: Final = 3.0
"""An endpoint whose requests take longer than this multiple of the fastest one's gets a single
request at a time, which shows when it has recovered."""

START_SERVICE_S: Final = 0.05
"""Service time that is assumed until requests have ended."""

SAMPLE_WEIGHT: Final = 0.1
"""Weight of one request in the mean service time of an endpoint."""

TAIL_FACTOR: Final = 1.5
"""Multiple of the mean service time within which most requests end."""

MIN_LEASE_S: Final = 0.5
LEASE_FACTOR: Final = 6.0
"""A slot that was not released is free again after this multiple of the mean service time, and
``MIN_LEASE_S`` at least: its router was probably killed."""

LATE_ROOM_S: Final = 0.25
"""Requests that will be late wait for slots that others leave free, at most as many as are served
in this time. More of them would be refused after a long wait."""

LONGEST_WAIT_SHARE: Final = 1 / 4
"""Longest wait as a share of the time until the deadline; the caller needs the rest to return."""

RANK_WEIGHT: Final = 2.0
"""Factor between the weights of two successive ranks."""

MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 1.0
HONOURED_HOLD_SHARE: Final = 1 / 3
"""Callers honour ``Retry-After`` up to this share of the time that they still wait."""

RETURN_SHARE: Final = 0.5
"""Part of a service's rate at which refused callers are told to return; the rest is for others."""

UNNAMED_S: Final = 10.0
"""Time after which an endpoint that no router names is forgotten; longer than any request waits."""

IDLE_S: Final = 60.0
"""Time after which a service without requests is forgotten."""

"""Constants of the deployed processes; times in seconds unless a name says otherwise."""

from typing import Final

CONNECT_TIMEOUT_S: Final = 0.3
"""Twice the way between the farthest regions; a lost opening packet is sent again only after
a second, and another endpoint takes the request meanwhile."""

MIN_TIME_FOR_RETRY_S: Final = 0.1
"""A silent endpoint is given up only while another one has so much time."""

STREAM_STALL_TIMEOUT_S: Final = 2.0
"""A resumable stream that is silent for so long after its first event goes on elsewhere;
callers give up after eight pauses, 2.4 s at the least."""

MAX_BUFFERED_ANSWER_BYTES: Final = 1024 * 1024
"""Answers up to this size are read whole before the caller gets a byte, so that a broken
one can be repeated or refused and is never seen."""

DEFAULT_CALLER_WAIT_S: Final = 15.0
"""For callers that do not say how long they wait."""

LATE_ANSWER_GRACE_S: Final = 0.1
"""How long after a route's timeout an answer may still be on its way."""

NO_ENDPOINT_RETRY_S: Final = 0.5
NO_DOCUMENT_RETRY_S: Final = 1.0

START_WAIT_S: Final = 2.0
"""From a router's start until it knows configuration and endpoints, also if all replicas
start with it: 0.8 s longer than its own start to a leader, two rounds of the exchange, and
as much again."""

PUSH_DELAY_S: Final = 0.02
"""Changes of endpoints within so long go out to routers together."""

PRUNE_INTERVAL_S: Final = 1.0

PRUNE_ROUNDS_PER_TRAFFIC_LINE: Final = 5
"""Rounds of tidying between two lines about the traffic with other processes."""

STOP_IDLE_AFTER_S: Final = 1.0
"""From SIGTERM until idle connections are closed: callers then open one elsewhere."""

STOP_ACCEPT_S: Final = 2.5
"""From SIGTERM until only requests are taken that must end before the exit: the balancer
asks each second and believes the second no, and a connection that it had just sent needs
a moment."""

STOP_MARGIN_S: Final = 0.5
"""Between the end of what is in flight and the kill."""

STOP_CALLS_TIMEOUT_S: Final = 2.0
"""From SIGTERM until a replica cuts the calls in progress: twice the longest wait of a call."""

BROADCAST_WAIT_S: Final = 0.6
"""How long a replica waits for others to know of a departure; callers wait a second."""

PROPOSE_TIMEOUT_S: Final = 0.9
READ_TIMEOUT_S: Final = 0.8
"""Operators go to another replica after a second."""

FORWARD_TIMEOUT_S: Final = 0.7
"""How long a follower waits for the leader before it refers the operator to it."""

LARGE_DOCUMENT_BYTES: Final = 200_000
"""Larger ones are read at routers: these take over half a second on a link of 3 Mbit/s, and
operators wait a second."""

APPLY_WAIT_S: Final = 0.5
"""How long a follower waits for the newest document, which the leader has told it of; a
document of 24 kB takes 65 ms on a link of 3 Mbit/s, and heartbeats come each 0.1 s."""

REPAIR_INTERVAL_S: Final = 0.1
JOIN_REQUEST_INTERVAL_S: Final = 0.25
LEADER_TIMEOUT_S: Final = 1.5
POSSIBLE_LOSS_LOG_INTERVAL_S: Final = 5.0
REOPEN_DELAY_S: Final = 0.5
BOOTSTRAP_GRACE_S: Final = 8.0
"""While a log is founded, documents wait this long for all voters to have joined: one that
is acknowledged before then lies on fewer disks than losses are to be borne."""

MAX_REQUESTS: Final = 1500
"""Requests in flight at a router: half of its descriptors, for both sides of each."""

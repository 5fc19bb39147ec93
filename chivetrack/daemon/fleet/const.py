"""Constants of the deployed processes; times in seconds unless a name says otherwise."""

from typing import Final

CONNECT_TIMEOUT_S: Final = 0.3
"""Twice the network delay between the farthest regions; a lost SYN is sent again only after a
second, and another endpoint can take the request before that."""

MIN_TIME_FOR_RETRY_S: Final = 0.1
"""A silent endpoint is abandoned only while more than this time is left for another one."""

MAX_BUFFERED_ANSWER_BYTES: Final = 1024 * 1024
"""Answers are buffered completely, up to this size, before the caller gets a byte, so that a
broken answer can be retried or refused and never reaches the caller."""

DEFAULT_CALLER_WAIT_S: Final = 15.0
"""Wait limit of callers that do not state one."""

NO_ENDPOINT_RETRY_S: Final = 0.5
NO_DOCUMENT_RETRY_S: Final = 1.0

START_WAIT_S: Final = 2.0
"""Time from a router's start until it knows configuration and endpoints, also if all replicas
start with it: 0.8 s longer than the time from a replica's own start to a leader, two rounds of
the exchange, and as much again."""

PUSH_DELAY_S: Final = 0.02
"""Endpoint changes within this time are sent to routers together."""

PRUNE_INTERVAL_S: Final = 1.0

PRUNE_ROUNDS_PER_TRAFFIC_LINE: Final = 5
"""Pruning rounds from one log line about the traffic with other processes to the next."""

START_FAILED_DRAIN_S: Final = 2.0
"""Limit for refusing the callers of a start that fails."""

STOP_IDLE_AFTER_S: Final = 1.0
"""From SIGTERM until idle connections are closed, so that callers connect to other routers."""

STOP_ACCEPT_S: Final = 2.5
"""From SIGTERM until only requests are accepted that must end before the exit: the load
balancer probes every second and removes a router after the second failed probe; the rest is
for a connection that it has just forwarded."""

STOP_MARGIN_S: Final = 0.5
"""Between the end of the requests in flight and SIGKILL."""

STOP_DRAINED_S: Final = 0.15
"""Between the end of the connections and SIGKILL, for the last log lines."""

STOP_CALLS_TIMEOUT_S: Final = 2.0
"""From SIGTERM until a replica cuts the calls in progress: twice the longest wait of a call."""

BROADCAST_WAIT_S: Final = 0.6
"""Limit of the wait until a majority of replicas has a departure; callers wait one second."""

PROPOSE_TIMEOUT_S: Final = 0.9
READ_TIMEOUT_S: Final = 0.8
"""Operators switch to another replica after one second."""

FORWARD_TIMEOUT_S: Final = 0.7
"""How long a follower waits for the leader before it redirects the operator to the leader."""

LARGE_DOCUMENT_BYTES: Final = 200_000
"""Reads of larger documents are redirected to routers: such a document takes over half a
second on a link of 3 Mbit/s, and operators wait one second."""

MAX_DOCUMENT_SEND_S: Final = 0.5
"""Reads of smaller documents are redirected as well if they take longer on the replica's link."""

APPLY_WAIT_S: Final = 0.5
"""How long a follower waits until it has applied the version that the leader confirmed; a
document of 24 kB takes 65 ms on a link of 3 Mbit/s, and heartbeats come every 0.1 s."""

REPAIR_INTERVAL_S: Final = 0.1
JOIN_REQUEST_INTERVAL_S: Final = 0.25
LEADER_TIMEOUT_S: Final = 1.5
POSSIBLE_LOSS_LOG_INTERVAL_S: Final = 5.0
REOPEN_DELAY_S: Final = 0.5
BOOTSTRAP_GRACE_S: Final = 8.0
"""While a log is bootstrapped, changes are refused until all voters have joined, at most for
this time: a change acknowledged earlier would be on too few disks to survive the tolerated
losses."""

MAX_REQUESTS: Final = 1500
"""Requests in flight at a router: half of its file descriptors, since each request uses one
for the caller and one for the endpoint."""

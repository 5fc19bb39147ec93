"""Constants of the distribution of state from replicas to routers; times in seconds."""

from typing import Final

FOLLOW_INTERVAL_S: Final = 0.4
MAX_FOLLOW_INTERVAL_S: Final = 1.2
FOLLOW_INTERVAL_PER_ROUTER_S: Final = 0.014
"""Interval at which a router polls each replica, which also bounds the repair of a lost push.
From 30 routers on, the interval grows with the number of routers, so that a replica with half a
core gets about 70 polls a second. The maximum is half of the 2.5 s within which a drain has to
reach a large fleet."""

LARGE_FLEET_ROUTERS: Final = 24
"""With more routers than this, full exchange between all routers and replicas would overload
links of 3 Mbit/s, and one router sees only a small share of the fleet's requests itself."""

LOAD_REPORT_INTERVAL_S: Final = 0.3
"""Interval at which a router reports its load to its assigned replica, and at which replicas
exchange loads. Counts are up to three intervals old when they reach another router."""

ASSIGNED_REPLICA_TIMEOUT_S: Final = 1.0
"""A router reports to another replica if its assigned replica has not answered for this long."""

ELECTION_GRACE_S: Final = 1.0
"""For this long after its start, a replica that knows no leader answers no router. An election
takes a third of this time on an otherwise idle link."""

REPLICA_SILENT_S: Final = 1.5
"""After this long without an answer, a router replaces a replica by another one in the majority
that it follows. Together with the next poll this is within the 2.5 s that a drain may take."""

PROBE_INTERVAL_S: Final = 3.0
"""Interval at which a router of a large fleet polls one of its silent replicas again."""

RESEND_AFTER_S: Final = 0.8
"""State that was sent to a router counts as in flight for this long, although the router has not
confirmed it. Without this, each poll over a full link would cause the same state to be sent
again. After a lost push, this time and one poll interval pass, together less than 2 s."""

PLACEMENTS_PER_ROUND: Final = 4000
"""Placements that a replica sends in 0.3 s to all of its assigned routers together. At 14 bytes
each in a compressed frame they take half of a link of 3 Mbit/s. The rest follows in the next
round. Where rounds fall behind, routers send prompts to engines that have to read them again,
because they learn too late which engine has cached them."""

ROUTER_SILENT_S: Final = 2.0
"""After this long without a request from a router, its load is no longer counted."""

ROUTER_EXPIRY_S: Final = 6.0
"""After this long without a request from a router, nothing is sent to it any more."""

FETCH_RETRY_S: Final = 0.3
MAX_FETCH_RETRY_S: Final = 1.2
"""Initial and largest delay before a router requests a document again, possibly from another
replica; the delay doubles with each attempt. 17 routers that start at one replica get 15 kB
each, which takes 0.7 s on 3 Mbit/s; with a fixed delay they requested it three times."""

STARTUP_REPLICAS: Final = 2
STARTUP_S: Final = 1.2
"""For this long after its start, a router polls only this many replicas. Each connection costs
a replica with half a core about 10 ms, and after a power loss of all instances the replicas have
to elect a leader at that moment."""

REPLICA_EXPIRY_S: Final = 30.0
"""A replica that no other replica lists any more is polled for this much longer."""

BULK_BYTES_PER_S: Final = 300_000.0
"""Rate limit of a replica for documents, endpoints, loads and placements together: four fifths
of a link of 3 Mbit/s; the rest is left to heartbeats and the log. 17 routers get 24 kB each,
which are 1,600 routes, within 1.4 s of the 2.5 s in which a change has to be in force."""

DOCUMENT_RESEND_S: Final = 0.5
"""Time for applying and confirming a document, in addition to its time on the link; afterwards a
delivery counts as lost."""

MAX_DOCUMENT_BYTES_IN_FLIGHT: Final = 75_000
"""What a replica or router has on its way to routers that have not confirmed it, or one document if
that is larger: a quarter of a second at 300 kB/s."""

DELIVERY_STALLED_S: Final = 3.0
"""A router that polls, but has not put a document in force for this long after it was first sent to
it, no longer delays acknowledgements: a change must not depend on one defective router."""

ROUTER_CONTACT_S: Final = 1.0
"""A router that has not polled for this long is gone or cut off and delays no acknowledgement."""

REPLICA_CONTACT_S: Final = 1.2
"""A replica that has said nothing of its routers for this long, four times the interval, delays no
acknowledgement; its routers have turned to other replicas by then."""

ASSIGNED_NAMED_S: Final = 1.0
"""A router requests a document elsewhere if its assigned replica has not named it for this long."""

OUTDATED_GRACE_S: Final = 1.0
"""For this long, a router that lacks an acknowledged version still serves what its own version
allows; a third of the time within which a change has to be in force."""

MAX_RELAY_BYTES: Final = 300_000.0
"""Limit of what one router forwards of one update to others: a quarter of a second on a link of
10 Mbit/s, which its callers share."""

ROLLOUT_REPORT_INTERVAL_S: Final = 1.0
"""Interval at which a replica reports the routers that lack the newest document."""

INLINE_RECORDS: Final = 16
"""Up to this many changed endpoints are always sent within an answer to a router. More are
packed and sent in rounds, in a third of the bytes."""

MAX_INLINE_RECORDS: Final = 100
"""Up to this many changed endpoints are sent within an answer while the link has room, so that a
router that starts in a fleet of tens of endpoints knows all of them at once."""

PUSH_BYTES: Final = 250
RECORD_BYTES: Final = 100
"""Estimated size on the link of one push and of each record in it, for the rate limit."""

ROUND_INTERVAL_S: Final = 0.25
"""Changes within this time are sent in one round; a tenth of the time that a drain may take."""

MAX_SEND_AHEAD_S: Final = 0.25
"""How far ahead of its rate limit a replica may hand data to the kernel. The log can't overtake
what is in the socket buffers of hundreds of connections."""

SNAPSHOT_MAX_AGE_S: Final = 1.0
"""Routers that start within this time get the same packed table, followed by newer changes."""

SMALL_TABLE_RECORDS: Final = 300
"""A table of up to this many endpoints, about 4 kB, is sent by every replica that a router
follows."""

MAX_DIRECT_BYTES: Final = 30_000.0
"""A round of up to this size is sent to every router by the replica itself, without relays."""

MAX_FORWARDS: Final = 16
"""Largest number of routers to which one router forwards an update."""

BROADCAST_INTERVAL_S: Final = 0.1
"""Changed endpoints that announce themselves to one replica within this time are sent to the
other replicas together."""

HEARTBEAT_BROADCAST_INTERVAL_S: Final = 0.4
"""Interval at which heartbeats without changes are sent to the other replicas: a third of the
heartbeat interval, and a tenth of the silence after which an endpoint is suspected."""

SILENT_CHECK_INTERVAL_S: Final = 0.2
"""Interval at which a replica refreshes its list of silent endpoints. An endpoint is silent once
it has sent no heartbeat for 5 s."""

SILENT_ID_BYTES: Final = 12
"""Estimated size on the link of the id of one silent endpoint, for the rate limit."""

INLINE_LOADS: Final = 4000
"""Up to this product of loads and assigned routers, each answer to a router holds all loads;
beyond it, loads are sent in rounds like endpoints. 4,000 loads take 200 kB a second."""

LOAD_BYTES_PER_S: Final = 10_000.0
"""Rate of packed loads to one router: half of the 19 kB a second that it may take for control
traffic. The more endpoints are in use, the longer the interval between updates."""

MAX_LOAD_INTERVAL_S: Final = 1.5
"""Longest interval between packed loads; routers use received loads for 2 s."""

RECENTLY_SEEN_S: Final = 0.5
"""A router that sent a request within this time is expected to be able to forward an update."""

RELAY_ORDER_S: Final = 5.0
"""For this long the same routers are preferred for forwarding updates."""

PLACEMENT_BYTES: Final = 14
"""Estimated size of one placement in a compressed frame, for the rate limit."""

MAX_PLACEMENTS_AHEAD_S: Final = MAX_SEND_AHEAD_S / 2
"""Placements are sent only while less than this is reserved ahead of the rate limit, because
endpoints have priority."""

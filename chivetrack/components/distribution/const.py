"""Constants of the distribution to routers; times in seconds."""

from typing import Final

FOLLOW_INTERVAL_S: Final = 0.4
MAX_FOLLOW_INTERVAL_S: Final = 1.2
FOLLOW_INTERVAL_PER_ROUTER_S: Final = 0.014
"""How often a router asks each replica; a lost push is made good after this much. From 30
routers on the interval grows with their number, so that a replica with half a core gets
about 70 questions a second; half of the 2.5 s within which a drain has to reach a large
fleet is the limit."""

LARGE_FLEET_ROUTERS: Final = 24
"""From so many on, what all routers and replicas tell each other weighs on links of
3 Mbit/s, and what one router sees itself is a sliver."""

LOAD_REPORT_INTERVAL_S: Final = 0.3
"""How often a router tells one replica of its load, and replicas tell each other. Counts
are three such steps old when they reach another router."""

ASSIGNED_REPLICA_TIMEOUT_S: Final = 1.0
"""After this long without an answer a router tells another replica instead."""

ELECTION_GRACE_S: Final = 1.0
"""After its start a replica that knows no leader answers no router for so long; a leader is
elected in a third of it where nothing else is in the way."""

REPLICA_SILENT_S: Final = 1.5
"""After this long without an answer another replica counts towards the majority that a router
follows. With the next question that is within the 2.5 s that a drain may take."""

PROBE_INTERVAL_S: Final = 3.0
"""How often a router of a large fleet asks a silent replica again."""

RESEND_AFTER_S: Final = 0.8
"""What was sent to a router so lately is taken as on its way, although the router does not
confirm it yet. On a full link each question would otherwise have the same news sent once
more. A push that was lost is sent again after this much and a question, within 2 s."""

PLACEMENTS_PER_ROUND: Final = 4000
"""Placements that a replica sends in 0.3 s to all routers close to it together, 14 bytes
each in a compressed frame: half of a link of 3 Mbit/s. What a router still lacks follows
with the next round; where rounds fall behind, routers have prompts read again that they
were not told of in time."""

ROUTER_SILENT_S: Final = 2.0
"""After this long without a request a router's load is not counted any more."""

ROUTER_EXPIRY_S: Final = 6.0
"""After this long a router is sent nothing any more."""

FETCH_RETRY_S: Final = 0.3
MAX_FETCH_RETRY_S: Final = 1.2
"""A document that has not come by then is asked for again, also from another replica, and
each time after twice as long: 17 routers that start at a replica get 15 kB each, 0.7 s on
3 Mbit/s, and asked for it three times over."""

STARTUP_REPLICAS: Final = 2
STARTUP_S: Final = 1.2
"""A router that has just started asks this many replicas, for so long at most. After all
instances lost power, each connection costs a replica with half a core some 10 ms at the
moment at which it has to elect a leader."""

REPLICA_EXPIRY_S: Final = 30.0
"""A replica that no other names any more is asked for this much longer."""

BULK_BYTES_PER_S: Final = 300_000.0
"""At which documents, endpoints, loads and placements leave a replica together: four fifths of a
link of 3 Mbit/s, so that heartbeats and the log find room beside them. 17 routers get 24 kB
each, 1,600 routes, within 1.4 s of the 2.5 s in which a change has to be in force."""

DOCUMENT_RESEND_S: Final = 0.5
"""A router that asks again so soon after its document has left is not sent it twice."""

MAX_DIRECT_DELAY_S: Final = 0.25
"""A router that would wait longer for its turn at a replica is sent to one that has the
document: a tenth of the time that a change may take."""

MAX_RELAY_BYTES: Final = 300_000.0
"""What one router hands out of one version, twelve copies of 24 kB: a quarter of a second on
a link of 10 Mbit/s, which its callers share."""

RELAY_MARGIN_S: Final = 0.05
"""Between the moment at which a document has left a replica and the one at which the router
that it went to can hand it on."""

INLINE_RECORDS: Final = 16
"""Changed endpoints that always go out within an answer to a router; more are packed and sent
in rounds, in a third of the bytes."""

MAX_INLINE_RECORDS: Final = 100
"""Up to so many do as well while the link has room, so that a router that starts in a fleet of
tens of endpoints knows them at once."""

PUSH_BYTES: Final = 250
RECORD_BYTES: Final = 100
"""What one push and each record in it take on the link, for pacing."""

ROUND_INTERVAL_S: Final = 0.25
"""Changes within so long go out in one round; a tenth of the time that a drain may take."""

MAX_SEND_AHEAD_S: Final = 0.25
"""So much of its pace a replica hands to the kernel at once. What lies in the socket buffers
of hundreds of connections can't be overtaken by the log."""

SNAPSHOT_MAX_AGE_S: Final = 1.0
"""Routers that start within so long get the same packed table, and what is newer after it."""

SMALL_TABLE_RECORDS: Final = 300
"""Up to so many endpoints are sent by every replica that a router follows, some 4 kB."""

MAX_DIRECT_BYTES: Final = 30_000.0
"""Up to so many bytes for a whole round, every router gets it from the replica itself."""

MAX_FORWARDS: Final = 16
"""Routers that one router hands an update on to."""

BROADCAST_INTERVAL_S: Final = 0.1
"""Changed endpoints that announce themselves to one replica within so long reach the others
together."""

HEARTBEAT_BROADCAST_INTERVAL_S: Final = 0.4
"""Likewise those that say nothing new: a third of the time between two heartbeats, a tenth of
the silence after which an endpoint is doubted."""

SILENT_CHECK_INTERVAL_S: Final = 0.2
"""How often a replica looks for silent endpoints; one is silent after 5 s."""

SILENT_ID_BYTES: Final = 12
"""What the id of one silent endpoint takes on the link, for pacing."""

INLINE_LOADS: Final = 4000
"""Loads times close routers up to which each answer to a router holds all loads; beyond, they
go out in rounds like endpoints. 4,000 are 200 kB a second."""

LOAD_BYTES_PER_S: Final = 10_000.0
"""What a router gets of packed loads, half of the 19 kB that it may take for control. The more
endpoints are in use, the older are the counts of others."""

MAX_LOAD_INTERVAL_S: Final = 1.5
"""Packed loads come this often at least; routers believe what they were told for 2 s."""

RECENTLY_SEEN_S: Final = 0.5
"""A router that was heard within so long is most likely still there to hand something on."""

RELAY_ORDER_S: Final = 5.0
"""For so long the same routers hand updates on."""

PLACEMENT_BYTES: Final = 14
"""What one placement takes in a compressed frame, for pacing."""

MAX_PLACEMENTS_AHEAD_S: Final = MAX_SEND_AHEAD_S / 2
"""Placements go out only while less of the pace than this is used up ahead: endpoints come
first."""

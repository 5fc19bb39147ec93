"""Constants of the distribution to routers; times in seconds."""

from typing import Final

FOLLOW_EVERY_S: Final = 0.4
"""How often a router asks each replica; a lost push is made good after this much. A fifth
of the 2 s within which a drain or a document has to reach every router."""

ROUTER_SILENT_S: Final = 2.0
"""After this long without a request a router's load is not counted any more."""

ROUTER_GONE_S: Final = 6.0
"""After this long a router is sent nothing any more."""

FETCH_AGAIN_S: Final = 0.3
"""A document that has not come by then is asked for again, also from another replica;
90 kB packed to 15 take 20 ms on the slowest link (6 Mbit/s)."""

START_REPLICAS: Final = 2
START_S: Final = 1.2
"""A router that has just started asks this many replicas, for so long at most. After all
instances lost power, each connection costs a replica with half a core some 10 ms at the
moment at which it has to elect a leader."""

REPLICA_FORGET_S: Final = 30.0
"""A replica that no other names any more is asked for this much longer."""

REPLICA_SILENT_S: Final = 1.5
"""A replica that has not answered for so long does not count as in contact."""

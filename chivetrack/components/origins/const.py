"""Constants of the origins component; times in seconds."""

from typing import Final

LOOKUP_TIMEOUT_S: Final = 0.25
"""Limit of the wait for the origin of a stream, and for the registration of a version."""

VERSION_MEMORY_S: Final = 900.0
"""How long a replica remembers a version after its last endpoint has left: longer than callers
wait for a stream that began there."""

LOST_VERSION_MEMORY_S: Final = 7200.0
"""The same for endpoints that were lost without a departure: they may still serve routers that
are partitioned from the replicas, which regions are for an hour now and then."""

REGISTER_INTERVAL_S: Final = 30.0
"""Between two registrations of a router's versions, so that replicas which have lost their memory
have it again long before they may rely on it."""

REGISTER_RETRY_S: Final = 0.1
"""From a registration that lacks a majority of replicas to the next one; doubled each time."""

MAX_REGISTER_RETRY_S: Final = 3.2
"""Limit of the same, so that routers do not flood the replicas that are left."""

SYNC_INTERVAL_S: Final = 0.5
"""From an attempt of a replica to fetch what the others remember to the next one; doubled each
time."""

MAX_SYNC_INTERVAL_S: Final = 8.0

RECORD_COPIES: Final = 3
"""Replicas that get the record of a stream's origin; two of them may be lost."""

RECORD_DELAY_S: Final = 0.02
"""How long a router collects records before it sends them, in a small fleet."""

RECORD_DELAY_PER_ROUTER_S: Final = 0.0005
"""The same for each router of a larger fleet, so that a replica gets as many messages."""

MAX_RECORD_DELAY_S: Final = 0.25

RECORD_GRACE_S: Final = 5.0
"""How long a record is kept beyond the time for which the caller waits."""

MAX_RECORD_TTL_S: Final = VERSION_MEMORY_S

RECORD_BUCKET_S: Final = 15.0
"""Records that expire within the same span are dropped together."""

MAX_RECORDS: Final = 400_000
"""Records that a replica keeps at most; further ones are dropped."""

MAX_OWN_RECORDS: Final = 20_000
"""Records of a router's own streams, which it sends when a second version appears."""

MAX_REQUEST_ID: Final = 64
"""Length of the longest request id that is recorded; ids come from callers."""

VIEW_CURRENT_S: Final = 5.0
"""Age of the newest view beyond which a router does not trust its records of versions; replicas
mark an endpoint silent after as long. It includes the time for which the router was suspended."""

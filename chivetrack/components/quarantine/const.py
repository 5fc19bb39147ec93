"""Constants of the request quarantine; times in seconds."""

from typing import Final

CRASHES_TO_QUARANTINE: Final = 3
"""A request that is retried may be running during two unrelated crashes, but rarely during
three."""

REPORT_DURATION_S: Final = 3.0
"""How long a crash report is repeated, so that it survives lost messages and the loss of a
replica."""

MAX_REPORTED: Final = 256
"""Maximum number of crash reports per message of a router; the newest are kept."""

MAX_SUSPECTS: Final = 4096
"""Maximum number of requests tracked by a replica; those with the fewest crashes are evicted."""

EVIDENCE_RETENTION_S: Final = 6 * 3600.0
"""Crashes are counted for this long after the first report; older ones are dropped."""

PRUNE_INTERVAL_S: Final = 60.0
"""Interval between removals of expired crashes."""

MAX_QUARANTINED: Final = 256
"""Maximum number of quarantined requests, about 200 bytes each; the oldest are evicted first."""

MAX_ANSWERED: Final = 4096
ANSWERED_RETENTION_S: Final = 60.0
"""A request that was completely answered within this time is not reported after a crash.

At most ``MAX_ANSWERED`` answered requests are kept.
"""

MAX_PATH_LENGTH: Final = 100
"""Maximum number of characters of a request path in a crash report."""

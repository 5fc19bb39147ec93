"""Constants of the request quarantine; times in seconds."""

from typing import Final

CRASHES_TO_QUARANTINE: Final = 3
"""A request that is retried may be running during two unrelated crashes, but rarely during
three."""

CRASHES_TO_QUARANTINE_PART: Final = 4
"""A sound part that few requests use may run during three unrelated crashes without an answer."""

LEAD_OF_REQUEST: Final = 1
LEAD_OF_PART: Final = 2
"""By how many crashes a suspect has to lead the others of the same crashes at the threshold.

A part of a few requests that has not been answered yet may run beside the cause and in one more
crash.
"""

REPORT_DURATION_S: Final = 3.0
"""How long a crash report is repeated, so that it survives lost messages and the loss of a
replica."""

MAX_REPORTED: Final = 256
"""Maximum number of crash reports per message of a router; the newest are kept."""

MAX_SUSPECTS: Final = 4096
"""Maximum number of requests tracked by a replica; those with the fewest crashes are evicted."""

EVIDENCE_RETENTION_S: Final = 6 * 3600.0
PART_EVIDENCE_RETENTION_S: Final = 900.0
"""Crashes under a whole request, or under a part, are counted for this long; older ones are
dropped. A part runs beside far more crashes that it has nothing to do with."""

CRASHES_TO_SUSPECT: Final = 2
"""From this many counted crashes on, routers are asked whether answers began since, and do not
send such a request to another endpoint again."""

ASK_DURATION_S: Final = 1.5
"""How long routers are asked before a suspect is held: a poll of each, and the exchanges between
replicas there and back. Several endpoints may crash at one moment for another reason, while a
frequent part runs on all of them."""

MAX_STORED: Final = 1024
"""Maximum number of crash reports in a replica's file, those of the suspects with the most."""

MAX_ASKED: Final = 64
"""Maximum number of suspects of which routers are asked; those with the most crashes are."""

RESEND_WINDOW_S: Final = 60.0
"""A router reports the crashes of this time again when a replica has started anew, and that replica
passes on those of this time that it finds in its file."""

ANSWER_PROOF_S: Final = 0.2
"""Time after its first event for which an answer must go on to show that its request is sound: an
endpoint that crashes when it begins to write may still send the beginning."""

PRUNE_INTERVAL_S: Final = 60.0
"""Interval between removals of expired crashes."""

MAX_QUARANTINED: Final = 256
"""Maximum number of quarantined requests, about 200 bytes each; the oldest are evicted first."""

MAX_ANSWERED: Final = 16_384
ANSWERED_RETENTION_S: Final = 60.0
"""A crash does not count for a request or part on which an answer began within this time before.

A router remembers at most ``MAX_ANSWERED`` of them.
"""

MAX_PATH_LENGTH: Final = 100
"""Maximum number of characters of a request path in a crash report."""

MAX_PARTS: Final = 32
"""Maximum number of shared parts of a prompt that are looked at; callers may list any number."""

MAX_PART_LENGTH: Final = 64
"""Maximum number of characters of the id of a part in a crash report."""

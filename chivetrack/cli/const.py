"""Names, timeouts and exit codes of the command line."""

from enum import IntEnum
from typing import Final

ENV_SERVER: Final = "CHIVETRACK_SERVER"
ENV_KEY: Final = "CHIVETRACK_KEY"
ENV_CA: Final = "CHIVETRACK_CA"
ENV_REPLICAS: Final = "CHIVETRACK_REPLICAS"
ENV_PROFILE: Final = "CHIVETRACK_PROFILE"
ENV_PROFILE_FILE: Final = "CHIVETRACK_PROFILE_FILE"
DEFAULT_PROFILE: Final = "default"

API_PREFIX: Final = "/api/v1"
DRAIN_KIND: Final = "drain"

DEFAULT_TIMEOUT_S: Final = 30.0
CONNECT_TIMEOUT_S: Final = 5.0
READ_TIMEOUT_S: Final = 10.0
# A sleep between attempts may end after the deadline; the attempt that follows it still needs
# a positive timeout.
MIN_ATTEMPT_S: Final = 0.1
WATCH_READ_TIMEOUT_S: Final = 60.0
NOTIFY_AFTER_S: Final = 2.0
INITIAL_BACKOFF_S: Final = 0.2
MAX_BACKOFF_S: Final = 3.0
PAGE_SIZE: Final = 500


class ExitCode(IntEnum):
    """Exit codes of the command; programs may rely on them."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    FINDINGS = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    NOT_FOUND = 6
    CONFLICT = 7
    FAULT = 70
    INTERRUPTED = 130


# Ordered from best to worst: a command that handles several resources ends with the worst of
# their exit codes.
EXIT_CODES_BY_SEVERITY: Final = (
    ExitCode.OK,
    ExitCode.NOT_FOUND,
    ExitCode.REFUSED,
    ExitCode.FINDINGS,
    ExitCode.CONFLICT,
    ExitCode.USAGE,
    ExitCode.UNREACHABLE,
    ExitCode.UNKNOWN,
)

EXIT_CODE_HELP: Final = (
    "Exit codes: 0 done; 1 refused, it did not happen; 2 wrong usage; 3 findings in a file "
    "or document; 4 unknown, a change may or may not have happened; 5 no instance could be "
    "reached, nothing happened; 6 not found; 7 conflict, another change came first; "
    "70 a fault of this program or 130 Ctrl-C, a change may or may not have happened."
)

"""Constants of the daemon."""

from typing import Final

# HTTP server
HEADER_TIMEOUT_S: Final = 20.0
IDLE_TIMEOUT_S: Final = 75.0
BACKLOG: Final = 1024
MAX_HEADER_BYTES: Final = 32 * 1024
MAX_HEADERS: Final = 100
# Pause before a request that came before the answer to the one before it, one connection after the
# other: such callers wait for none of their answers, and others would find the loop always busy.
PIPELINED_PAUSE_S: Final = 0.005
# Limits on reading the rest of a request before its connection is closed.
LINGER_TIMEOUT_S: Final = 1.0
MAX_LINGER_BYTES: Final = 1024 * 1024
LINGER_BLOCK_BYTES: Final = 64 * 1024
# Limits of a stopping server: on receiving the rest of a request that it refuses, and on the
# time from the opening of a connection to its first request.
RECEIVE_TIMEOUT_S: Final = 1.0

# Graceful stop; it is complete after the quiet period without an open request.
STOP_POLL_INTERVAL_S: Final = 0.02
STOP_QUIET_PERIOD_S: Final = 0.2
# Least time for callers to receive their answers after the decision to exit.
STOP_DRAIN_TIMEOUT_S: Final = 2.0

# Longest sleep of the runner between two checks of the timers.
MAX_SLEEP_S: Final = 0.5

# Exit codes
EXIT_OK: Final = 0
EXIT_CUT: Final = 1
EXIT_SETTINGS: Final = 3
EXIT_START: Final = 4
EXIT_STORAGE: Final = 5

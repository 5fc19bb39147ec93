"""Constants of the caller interface."""

from typing import Final

from chivetrack.const import MEBIBYTE

PATH_CHAT: Final = "/v1/chat/completions"
PATH_SERVICE: Final = "/services/<service>/<path:path>"
PATH_ANNOUNCE: Final = "/announce/v1/endpoints"
PATH_HEALTH: Final = "/healthz"
PATH_READY: Final = "/readyz"

DEFAULT_MAX_BODY_BYTES: Final = 4 * MEBIBYTE
BODY_TIMEOUT_S: Final = 15.0
DEFAULT_MAX_OPEN_REQUESTS: Final = 1_000
OVERLOAD_RETRY_AFTER_S: Final = 1.0
# Answers up to this size (bytes) are buffered completely before the first byte is sent to
# the caller, so that a broken answer becomes a typed error or a retry rather than a cut
# connection.
MAX_BUFFERED_ANSWER_BYTES: Final = MEBIBYTE
# Largest answer (bytes) that is stored under an idempotency key and replayed on a resend.
MAX_STORED_ANSWER_BYTES: Final = 64 * 1024

# WSGI environment key of the caller's socket.
ENVIRON_SOCKET: Final = "chivetrack.socket"
# WSGI environment key: whether the server itself has stopped reading from the caller.
ENVIRON_READING_ENDED: Final = "chivetrack.reading_ended"
# WSGI environment keys of the raw request target and header lines. The standard keys hold a
# decoded path and joined lines, which cannot be forwarded unchanged.
ENVIRON_TARGET: Final = "chivetrack.target"
ENVIRON_HEADERS: Final = "chivetrack.headers"
# WSGI environment key: when the connection was opened, in seconds of the monotonic clock.
ENVIRON_CONNECTED_AT: Final = "chivetrack.connected_at"
# WSGI environment key: what the connection holds of the memory of the process.
ENVIRON_MEMORY: Final = "chivetrack.memory"
HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_ENDPOINT: Final = "X-Served-By"
JSON_TYPE: Final = "application/json"
STREAM_TYPE: Final = "text/event-stream"

"""Constants of the stand-ins."""

from typing import Final

ANNOUNCE_PATH: Final = "/announce/v1/endpoints"
LEASE_S: Final = 3.0
ANNOUNCE_INTERVAL_S: Final = 1.0
ANNOUNCE_TIMEOUT_S: Final = 1.0
STOP_TIMEOUT_S: Final = 30.0
DEFAULT_TOKENS: Final = 16
DEFAULT_TOKEN_MS: Final = 2.0
DEFAULT_CACHE_CHATS: Final = 64
HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_DID_NOT_RUN: Final = "X-Did-Not-Run"
RECEIVE_BUFFER_BYTES: Final = 65536
PROBE_INTERVAL_S: Final = 0.2

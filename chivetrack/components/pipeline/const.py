"""Constants of the request pipeline."""

from typing import Final

# The order in which the daemon runs the filters; ``check_order`` checks other orders.
FILTER_ORDER: Final = (
    "trace",
    "identify",
    "classify",
    "deadline",
    "limit",
    "claim",
    "route",
    "forward",
)

HEADER_WORKSPACE: Final = "x-workspace"
HEADER_AUTHORIZATION: Final = "authorization"
HEADER_CHAT: Final = "x-chat-id"
HEADER_DOSSIER: Final = "x-dossier-id"
HEADER_TIMEOUT_MS: Final = "x-request-timeout-ms"
HEADER_IDEMPOTENT: Final = "x-idempotent"
HEADER_IDEMPOTENCY_KEY: Final = "idempotency-key"
HEADER_PRIORITY: Final = "x-priority"
HEADER_TRACEPARENT: Final = "traceparent"

BEARER_PREFIX: Final = "Bearer "
SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
MAX_IDEMPOTENCY_KEY: Final = 200
MAX_TIMEOUT_S: Final = 3600.0
AFFINITY_MESSAGES: Final = 2

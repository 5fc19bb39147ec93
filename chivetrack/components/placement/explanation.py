"""What ``chivetrack explain-request`` asks a router, and what the router answers."""

from typing import Final

import msgspec

PATH_EXPLAIN: Final = "/explain"


class ExplainQuery(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A request that is not sent.

    ``parts`` are the parts of its prompt as ``ID:TOKENS``, the last one its own. ``request_id``
    decides among the services of a route that is split.
    """

    host: str
    path: str
    key: str = ""
    request_id: str = ""
    parts: tuple[str, ...] = ()
    prompt_tokens: int = 0


class ExplainedEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint of the service with its cost; the lowest cost of those not left out wins.

    ``left_out`` is why it can't get the request, empty if it can. ``running`` counts requests of
    all routers as far as known here.
    """

    endpoint: str
    zone: str
    left_out: str = ""
    slots: int = 0
    running: int = 0
    cost_ms: float = 0.0
    location_ms: float = 0.0
    expected_ms: float = 0.0
    missing_tokens: int = 0
    fetch_from: str = ""


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request would go now.

    ``endpoint`` is empty if it would be refused, ``why`` tells the reason of either.
    ``is_scheduled``: the leading replica grants its slot, and may name another endpoint.
    """

    why: str
    endpoint: str = ""
    version: int = 0
    route: str = ""
    service: str = ""
    workspace: str = ""
    rank: int = 0
    is_scheduled: bool = False
    endpoints: tuple[ExplainedEndpoint, ...] = ()

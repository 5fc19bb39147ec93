"""HTTP client that executes the effects of the order handler."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
import urllib3

from chivetrack.components.orders import const
from chivetrack.components.orders.models import (
    EngineAnswered,
    EngineState,
    OrderEnded,
    OrderOutcome,
    QueryEngine,
    SendOrder,
)
from chivetrack.components.upstream.strict_pool import open_pool, request_whole

_NOT_CONNECTED = (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError)
_LOST = (urllib3.exceptions.HTTPError, OSError)
_STATES = msgspec.json.Decoder(EngineState, strict=False)
_HEADERS = {"Content-Type": "application/json"}


class OrderClient:
    """Executes the order handler's effects; each call blocks until it has ended.

    ``read_clock`` must be the clock of the handler's ``now``. Each call opens its own
    connection: on a pooled connection that the engine has just closed, the client could
    not determine whether an order was sent.
    """

    def __init__(self, *, read_clock: Callable[[], float]) -> None:
        """Create a client that compares deadlines with ``read_clock``."""
        self._read_clock = read_clock

    def send(self, effect: SendOrder) -> OrderEnded:
        """Send an order unless its ``send_by`` has passed, and return the outcome."""
        outcome, error = self._send(effect)
        return OrderEnded(
            endpoint_id=effect.endpoint_id,
            order_id=effect.order.order_id,
            outcome=outcome,
            error=error,
        )

    def query_state(self, effect: QueryEngine) -> EngineAnswered:
        """Request the state of an engine; the state is ``None`` without a valid response."""
        state = self._query(effect)
        return EngineAnswered(endpoint_id=effect.endpoint_id, query_id=effect.query_id, state=state)

    def _send(self, effect: SendOrder) -> tuple[OrderOutcome, str]:
        now = self._read_clock()
        if now >= effect.send_by:
            return OrderOutcome.NOT_SENT, "the time limit for sending had passed"
        timeout = urllib3.Timeout(connect=effect.send_by - now, total=effect.answer_by - now)
        body = msgspec.json.encode(effect.order)
        try:
            with _open_pool(effect.address, timeout) as pool:
                answer = request_whole(pool, "POST", const.ORDERS_PATH, body=body, headers=_HEADERS)
        except _NOT_CONNECTED as error:
            return OrderOutcome.NOT_SENT, str(error)
        except _LOST as error:
            return OrderOutcome.LOST, str(error)
        return _classify_status(answer.status), f"status {answer.status}"

    def _query(self, effect: QueryEngine) -> EngineState | None:
        remaining_s = effect.answer_by - self._read_clock()
        if remaining_s <= 0:
            return None
        try:
            with _open_pool(effect.address, urllib3.Timeout(total=remaining_s)) as pool:
                fields = {const.FENCING_FIELD: str(effect.fencing)}
                answer = request_whole(
                    pool,
                    "GET",
                    const.STATE_PATH,
                    fields=fields,
                    max_body_bytes=const.MAX_STATE_BYTES,
                )
        except _LOST:
            return None
        if answer.status != 200:
            return None
        try:
            return _STATES.decode(answer.body)
        except msgspec.MsgspecError:
            return None


def _classify_status(status: int) -> OrderOutcome:
    if 200 <= status < 300:
        return OrderOutcome.ACCEPTED
    if status == const.STALE_STATUS:
        return OrderOutcome.STALE
    # An engine that failed with another status may have started to execute the order.
    return OrderOutcome.REFUSED if 400 <= status < 500 else OrderOutcome.LOST


@contextmanager
def _open_pool(address: str, timeout: urllib3.Timeout) -> Iterator[urllib3.HTTPConnectionPool]:
    pool = open_pool(address, timeout=timeout, retries=False)
    try:
        yield pool
    finally:
        pool.close()

"""One-time orders, tracked by their id until the engine reports how they ended."""

from chivetrack.components.orders.engine import EngineRecord
from chivetrack.components.orders.models import (
    KnownOrder,
    Order,
    OrderPhase,
    OrderRequest,
    OrderRequestEnded,
)


def make_order(request: OrderRequest, *, fencing: int) -> Order:
    """Return the order for a request; each resend uses the same id."""
    return Order(
        order_id=request.request_id,
        fencing=fencing,
        kind=request.kind,
        subject=request.subject,
        location=request.location,
    )


def find_known_order(engine: EngineRecord, request: OrderRequest) -> KnownOrder | None:
    """Return the engine's report on a request, ``None`` without one."""
    if engine.state is None:
        return None
    known = [order for order in engine.state.orders if order.order_id == request.request_id]
    return known[0] if known else None


def find_next_request(engine: EngineRecord) -> OrderRequest | None:
    """Return the oldest request that the engine has not reported."""
    return next(
        (request for request in engine.requests if find_known_order(engine, request) is None), None
    )


def pop_ended(engine: EngineRecord, now: float) -> list[OrderRequestEnded]:
    """Remove the requests that ended or passed their deadline, and return their ends."""
    ends = [(request, _find_end(engine, request, now)) for request in engine.requests]
    engine.requests = [request for request, end in ends if end is None]
    engine.sent -= {request.request_id for request, end in ends if end is not None}
    return [end for _, end in ends if end is not None]


def abandon_all(engine: EngineRecord, error: str) -> list[OrderRequestEnded]:
    """Return the ends of all requests of an engine, which this instance abandons."""
    return [_abandon(engine, request, error) for request in engine.requests]


def make_failed_end(request: OrderRequest, error: str) -> OrderRequestEnded:
    """Return the end of a request that certainly has not run."""
    return OrderRequestEnded(request_id=request.request_id, phase=OrderPhase.FAILED, error=error)


def _find_end(engine: EngineRecord, request: OrderRequest, now: float) -> OrderRequestEnded | None:
    known = find_known_order(engine, request)
    if known is not None and known.phase is not OrderPhase.RUNNING:
        return OrderRequestEnded(
            request_id=request.request_id, phase=known.phase, error=known.error
        )
    if now >= request.deadline:
        return _abandon(engine, request, "the deadline passed")
    return None


def _abandon(engine: EngineRecord, request: OrderRequest, error: str) -> OrderRequestEnded:
    if not engine.may_have_received(request) and find_known_order(engine, request) is None:
        return make_failed_end(request, error)
    return OrderRequestEnded(request_id=request.request_id, phase=None, error=error)

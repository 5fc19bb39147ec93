"""How tries at each endpoint ended lately, at this router and at all others together."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random

from chivetrack.components.distribution.messages import EndpointLoad
from chivetrack.components.endpoints.const import (
    FLEET_FAILURE_SHARE,
    FLEET_FAILURES,
    FLEET_HOLD_S,
    FLEET_PROBE_SHARE,
    FLEET_WINDOW_S,
    PEER_COUNTS_TTL_S,
)
from chivetrack.components.observation.failures import FailureBook

_BUCKETS = 4
_BUCKET_S = FLEET_WINDOW_S / _BUCKETS
_NEVER = float("-inf")


@dataclass(slots=True)
class _Counts:
    answered: int = 0
    failed: int = 0

    @property
    def is_bad(self) -> bool:
        total = self.answered + self.failed
        return self.failed >= FLEET_FAILURES and self.failed >= FLEET_FAILURE_SHARE * total


@dataclass(slots=True)
class _Endpoint:
    """Own counts by the number of their bucket, and the others' sums."""

    own: dict[int, _Counts] = field(default_factory=dict)
    others: _Counts = field(default_factory=_Counts)
    others_at: float = _NEVER
    held_at: float = _NEVER
    is_held: bool = False

    def sum_own(self, now: float) -> _Counts:
        oldest = int(now / _BUCKET_S) - _BUCKETS
        recent = [counts for number, counts in self.own.items() if number > oldest]
        return _Counts(sum(one.answered for one in recent), sum(one.failed for one in recent))

    def sum_all(self, now: float) -> _Counts:
        sums = self.sum_own(now)
        if now - self.others_at <= PEER_COUNTS_TTL_S:
            sums.answered += self.others.answered
            sums.failed += self.others.failed
        return sums


@dataclass(frozen=True, slots=True)
class HoldChange:
    """An endpoint is held back from now on, or not any more; counts of the window."""

    endpoint_id: str
    is_held: bool
    answered: int
    failed: int


class OutcomeTable:
    """Holds back endpoints that fail for the fleet as a whole; free of I/O.

    It answers an endpoint that crashes among many routers. Each of 87 routers sends it a
    request in six seconds, so a router's own breaker never sees two failures in a row, and
    as long as the endpoint is down all its share of the traffic fails once. Together the
    routers see ten failures a second.
    """

    def __init__(self, *, random: Random, on_hold_change: Callable[[HoldChange], None]) -> None:
        """Start with no outcomes; ``random`` picks the requests that probe."""
        self._random = random
        self._note_change = on_hold_change
        self._endpoints: dict[str, _Endpoint] = {}
        self._failures = FailureBook()
        self._peer_counts_at: float | None = None

    def record_outcome(self, endpoint_id: str, *, ok: bool, now: float) -> None:
        """Count the end of one try."""
        endpoint = self._endpoints.setdefault(endpoint_id, _Endpoint())
        number = int(now / _BUCKET_S)
        for old in [one for one in endpoint.own if one <= number - _BUCKETS]:
            del endpoint.own[old]
        counts = endpoint.own.setdefault(number, _Counts())
        if ok:
            counts.answered += 1
        else:
            counts.failed += 1
        self._failures.note(endpoint_id, tries=1, failures=0 if ok else 1, now=now)

    def handle_peer_counts(self, loads: Iterable[EndpointLoad], *, now: float) -> None:
        """Replace what the other routers have counted."""
        # What is told are sums of a sliding window: the part of it that is new is counted.
        heard_at, self._peer_counts_at = self._peer_counts_at, now
        part = 1.0 if heard_at is None else min(1.0, (now - heard_at) / FLEET_WINDOW_S)
        for endpoint in self._endpoints.values():
            endpoint.others = _Counts()
        for load in loads:
            if load.answered or load.failed:
                endpoint = self._endpoints.setdefault(load.endpoint_id, _Endpoint())
                endpoint.others = _Counts(load.answered, load.failed)
                endpoint.others_at = now
                self._failures.note(
                    load.endpoint_id,
                    tries=part * (load.answered + load.failed),
                    failures=part * load.failed,
                    now=now,
                )

    def count_own(self, endpoint_id: str, now: float) -> tuple[int, int]:
        """Return how many tries of this router were answered and failed in the window."""
        endpoint = self._endpoints.get(endpoint_id)
        counts = _Counts() if endpoint is None else endpoint.sum_own(now)
        return counts.answered, counts.failed

    def list_endpoints(self) -> Iterator[str]:
        """Yield the endpoints of which outcomes were noted."""
        yield from self._endpoints

    def lets_through(self, endpoint_id: str, now: float) -> bool:
        """Return whether a request may go to an endpoint.

        While it is held back, a few requests of the fleet find out whether it answers.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return True
        counts = endpoint.sum_all(now)
        if counts.is_bad:
            endpoint.held_at = now
        elif counts.answered > counts.failed:
            endpoint.held_at = _NEVER
        is_held = now - endpoint.held_at <= FLEET_HOLD_S
        if is_held is not endpoint.is_held:
            endpoint.is_held = is_held
            self._note_change(HoldChange(endpoint_id, is_held, counts.answered, counts.failed))
        return not is_held or self._random.random() < FLEET_PROBE_SHARE

    def find_failure_share(self, endpoint_id: str, now: float) -> float:
        """Return the share of an endpoint's tries that fail lately, 0 to 1."""
        return self._failures.find_share(endpoint_id, now)

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint: it has started again, or has gone."""
        self._endpoints.pop(endpoint_id, None)
        self._failures.forget(endpoint_id)

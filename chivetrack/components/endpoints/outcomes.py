"""Recent outcomes of attempts at each endpoint, on this router and in the whole fleet."""

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
from chivetrack.components.observation.failures import FailureTracker

_BUCKETS = 4
_BUCKET_S = FLEET_WINDOW_S / _BUCKETS
_NEVER = float("-inf")


@dataclass(slots=True)
class _Counts:
    answered: int = 0
    failed: int = 0

    @property
    def is_failing(self) -> bool:
        total = self.answered + self.failed
        return self.failed >= FLEET_FAILURES and self.failed >= FLEET_FAILURE_SHARE * total


@dataclass(slots=True)
class _EndpointOutcomes:
    """Own counts by bucket number, and the summed counts of the other routers (peers)."""

    own: dict[int, _Counts] = field(default_factory=dict)
    peers: _Counts = field(default_factory=_Counts)
    peers_at: float = _NEVER
    held_at: float = _NEVER
    is_held: bool = False

    def sum_own(self, now: float) -> _Counts:
        oldest = int(now / _BUCKET_S) - _BUCKETS
        recent = [counts for number, counts in self.own.items() if number > oldest]
        return _Counts(
            sum(counts.answered for counts in recent), sum(counts.failed for counts in recent)
        )

    def sum_all(self, now: float) -> _Counts:
        sums = self.sum_own(now)
        if now - self.peers_at <= PEER_COUNTS_TTL_S:
            sums.answered += self.peers.answered
            sums.failed += self.peers.failed
        return sums


@dataclass(frozen=True, slots=True)
class HoldChange:
    """Start or end of holding an endpoint back, with the counts of the window."""

    endpoint_id: str
    is_held: bool
    answered: int
    failed: int


class OutcomeTable:
    """Holds back endpoints that fail for the fleet as a whole; performs no I/O.

    With many routers, the circuit breaker of a single router does not detect a crashed
    endpoint. If each of 87 routers sends it one request every six seconds, no router
    sees two failures in a row, and the endpoint's whole share of the traffic fails once
    while it is down. The counts of all routers together show ten failures per second.
    """

    def __init__(self, *, random: Random, on_hold_change: Callable[[HoldChange], None]) -> None:
        """Create a table without outcomes.

        ``random`` selects the requests that serve as probes; ``on_hold_change`` is called
        when an endpoint starts or stops being held back.
        """
        self._random = random
        self._note_change = on_hold_change
        self._endpoints: dict[str, _EndpointOutcomes] = {}
        self._failures = FailureTracker()
        self._peer_counts_at: float | None = None

    def record_outcome(self, endpoint_id: str, *, ok: bool, now: float) -> None:
        """Count the outcome of one attempt."""
        endpoint = self._endpoints.setdefault(endpoint_id, _EndpointOutcomes())
        number = int(now / _BUCKET_S)
        for expired in [bucket for bucket in endpoint.own if bucket <= number - _BUCKETS]:
            del endpoint.own[expired]
        counts = endpoint.own.setdefault(number, _Counts())
        if ok:
            counts.answered += 1
        else:
            counts.failed += 1
        self._failures.record(endpoint_id, tries=1, failures=0 if ok else 1, now=now)

    def handle_peer_counts(self, loads: Iterable[EndpointLoad], *, now: float) -> None:
        """Replace the counts of the other routers."""
        # The counts are sums over a sliding window. Only the share of the window that passed
        # since the last counts is new and recorded for the failure share.
        previous_at, self._peer_counts_at = self._peer_counts_at, now
        new_share = 1.0 if previous_at is None else min(1.0, (now - previous_at) / FLEET_WINDOW_S)
        for endpoint in self._endpoints.values():
            endpoint.peers = _Counts()
        for load in loads:
            if load.answered or load.failed:
                endpoint = self._endpoints.setdefault(load.endpoint_id, _EndpointOutcomes())
                endpoint.peers = _Counts(load.answered, load.failed)
                endpoint.peers_at = now
                self._failures.record(
                    load.endpoint_id,
                    tries=new_share * (load.answered + load.failed),
                    failures=new_share * load.failed,
                    now=now,
                )

    def count_own(self, endpoint_id: str, now: float) -> tuple[int, int]:
        """Return this router's numbers of answered and failed attempts in the window."""
        endpoint = self._endpoints.get(endpoint_id)
        counts = _Counts() if endpoint is None else endpoint.sum_own(now)
        return counts.answered, counts.failed

    def do_peers_reach(self, endpoint_id: str, now: float) -> bool | None:
        """Return whether other routers had answers lately, ``None`` if they did not try."""
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None or now - endpoint.peers_at > PEER_COUNTS_TTL_S:
            return None
        counts = endpoint.peers
        return counts.answered > 0 if counts.answered or counts.failed else None

    def list_endpoints(self) -> Iterator[str]:
        """Yield the ids of endpoints that have recorded outcomes."""
        yield from self._endpoints

    def lets_through(self, endpoint_id: str, now: float) -> bool:
        """Return whether a request may be sent to an endpoint.

        While the endpoint is held back, a small share of requests is admitted as probes.
        """
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return True
        counts = endpoint.sum_all(now)
        if counts.is_failing:
            endpoint.held_at = now
        elif counts.answered > counts.failed:
            endpoint.held_at = _NEVER
        is_held = now - endpoint.held_at <= FLEET_HOLD_S
        if is_held is not endpoint.is_held:
            endpoint.is_held = is_held
            self._note_change(HoldChange(endpoint_id, is_held, counts.answered, counts.failed))
        return not is_held or self._random.random() < FLEET_PROBE_SHARE

    def find_failure_share(self, endpoint_id: str, now: float) -> float:
        """Return the share of an endpoint's recent attempts that failed, 0 to 1."""
        return self._failures.find_share(endpoint_id, now)

    def forget(self, endpoint_id: str) -> None:
        """Drop all outcomes of an endpoint that has restarted or is gone."""
        self._endpoints.pop(endpoint_id, None)
        self._failures.forget(endpoint_id)

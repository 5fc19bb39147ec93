"""Load tracker: own requests, counts of other routers and reports of engines."""

from collections.abc import Collection, Sequence

from chivetrack.components.load.const import (
    MAX_TOMBSTONES,
    PEER_SILENCE_S,
    REPORT_MAX_AGE_S,
    SUMMARY_WARM_UP_S,
)
from chivetrack.components.load.history import CountHistory
from chivetrack.components.load.models import LoadCounts, LoadEstimate, MergeVerdict
from chivetrack.components.load.peers import PeerCounts, apply_message
from chivetrack.components.load.reports import EngineReport
from chivetrack.components.load.reservations import Reservations


class LoadTracker:
    """Estimates the requests in flight at each endpoint.

    Own requests are counted exactly. The requests of other routers have two sources, which
    are never added up, since both cover the same requests:

    - the counts that the routers exchange; they are used alone while no known router is silent
      (has sent no counts for ``PEER_SILENCE_S`` or ``SCOPED_SILENCE_S``);
    - the engine's report less the own requests in flight at that time. It also covers routers
      from which this one receives nothing, but lags more. While a router is silent, the larger
      of both numbers is used.
    """

    def __init__(self, *, router_id: str, incarnation: int = 0) -> None:
        """Initialize the tracker; ``incarnation`` must increase when this router restarts."""
        self._router_id = router_id
        self._incarnation = incarnation
        self._sequence = 0
        self._history = CountHistory()
        self._peers: dict[str, PeerCounts] = {}
        self._silent_routers: set[str] = set()
        self._dead_incarnations: dict[str, int] = {}
        self._reports: dict[str, EngineReport] = {}
        self._reservations = Reservations()
        self._owned: dict[str, float] = {}
        self._others_in_flight: dict[str, int] = {}
        self._estimates: dict[str, float] = {}
        self._next_expiry = float("inf")
        self._uses_reports = True

    @property
    def estimates(self) -> dict[str, float]:
        """Return the estimates by endpoint id, to be read only; an absent endpoint has 0."""
        return self._estimates

    def start(self, endpoint_id: str, now: float) -> None:
        """Count a request that is about to be sent to the endpoint."""
        self._history.change(endpoint_id, 1, now)
        self._estimates[endpoint_id] = self._estimates.get(endpoint_id, 0.0) + 1.0

    def finish(self, endpoint_id: str, now: float) -> None:
        """Count a request as ended.

        Raises ``ValueError`` if no own request is in flight at the endpoint.
        """
        if self._history.get(endpoint_id) == 0:
            raise ValueError(f"no own request is in flight on {endpoint_id!r}")
        self._history.change(endpoint_id, -1, now)
        self._update_estimate(endpoint_id)

    def count_own(self, endpoint_id: str) -> int:
        """Return the number of this router's own requests in flight at the endpoint."""
        return self._history.get(endpoint_id)

    def list_own(self) -> list[str]:
        """Return the endpoints on which own requests are in flight."""
        return list(self._history.copy_counts())

    def collect_counts(
        self, now: float, *, scope: Sequence[str] | None = None, settled: int = 0
    ) -> LoadCounts:
        """Return this router's counts as a message, for all endpoints or those of ``scope``."""
        self.expire(now)
        self._sequence += 1
        counts = self._history.copy_counts()
        if scope is not None:
            counts = {name: counts[name] for name in scope if name in counts}
        return LoadCounts(
            incarnation=self._incarnation,
            sequence=self._sequence,
            counts=counts,
            scope=None if scope is None else list(scope),
            settled=settled,
        )

    def merge_counts(
        self, source: str, counts: LoadCounts, *, age_s: float, now: float
    ) -> MergeVerdict:
        """Merge the counts of another router, which were ``age_s`` old on arrival."""
        self.expire(now)
        verdict = self._check_counts(source, counts, age_s)
        if verdict is not MergeVerdict.TAKEN:
            return verdict
        old = self._peers.get(source)
        new = self._peers[source] = apply_message(old, counts, as_of=now - age_s)
        self._silent_routers.discard(source)
        self._dead_incarnations.pop(source, None)
        self._next_expiry = min(self._next_expiry, new.silent_at)
        self._release_reservations(self._reservations.release_settled(source, counts.settled))
        self._replace_counts(old.counts if old else {}, new.counts)
        self._update_report_use()
        return verdict

    def _check_counts(self, source: str, counts: LoadCounts, age_s: float) -> MergeVerdict:
        if source == self._router_id:
            return MergeVerdict.OWN
        if counts.incarnation <= self._dead_incarnations.get(source, -1):
            return MergeVerdict.DEAD
        old = self._peers.get(source)
        # Gossip may deliver messages twice and out of order. An older message would restore
        # finished requests. The pair of incarnation and sequence strictly increases.
        if old is not None and (counts.incarnation, counts.sequence) <= old.order:
            return MergeVerdict.STALE
        return MergeVerdict.TOO_OLD if age_s >= PEER_SILENCE_S else MergeVerdict.TAKEN

    def drop_router(self, source: str, incarnation: int) -> None:
        """Remove a dead router immediately; later counts of that incarnation are rejected."""
        # The connections of a dead router are closed, so its requests have ended. Counts that
        # are still in transit would restore them for seconds and make endpoints appear full.
        self._dead_incarnations[source] = max(incarnation, self._dead_incarnations.get(source, -1))
        while len(self._dead_incarnations) > MAX_TOMBSTONES:
            self._dead_incarnations.pop(next(iter(self._dead_incarnations)))
        old = self._peers.get(source)
        if old is not None and old.order[0] > incarnation:
            return
        self._silent_routers.discard(source)
        self._release_reservations(self._reservations.drop_router(source))
        if self._peers.pop(source, None) is not None and old is not None:
            self._replace_counts(old.counts, {})
        self._update_report_use()

    def reserve(self, source: str, endpoint_id: str, ticket: int, now: float) -> None:
        """Reserve a slot for another router until its counts include the request."""
        self._reservations.add(source, endpoint_id, ticket, now)
        self._next_expiry = min(self._next_expiry, self._reservations.find_next_expiry())
        self._others_in_flight[endpoint_id] = self._others_in_flight.get(endpoint_id, 0) + 1
        self._update_estimate(endpoint_id)

    def find_reserved(self, source: str, ticket: int) -> str | None:
        """Return the endpoint of the slot reserved for a ticket, or ``None``."""
        return self._reservations.find(source, ticket)

    def set_owned(self, endpoint_ids: Collection[str], now: float) -> None:
        """Replace the endpoints for which this router grants the slots.

        All routers that use these endpoints send their counts to this one. After a change the
        counts are incomplete at first, so reports are used too for ``SUMMARY_WARM_UP_S``.
        """
        self._owned = {name: self._owned.get(name, now) for name in endpoint_ids}
        for endpoint_id in self._reports:
            self._update_estimate(endpoint_id)

    def report_load(
        self, endpoint_id: str, in_flight: int, *, incarnation: int, age_s: float, now: float
    ) -> MergeVerdict:
        """Handle an engine's report of its requests in flight, ``age_s`` before ``now``."""
        if age_s >= REPORT_MAX_AGE_S:
            return MergeVerdict.TOO_OLD
        as_of = now - age_s
        old = self._reports.get(endpoint_id)
        if old is not None and (incarnation, as_of) <= (old.incarnation, old.as_of):
            return MergeVerdict.STALE
        own_in_flight = self._history.get_at(endpoint_id, as_of)
        self._reports[endpoint_id] = EngineReport(
            incarnation=incarnation, as_of=as_of, others_in_flight=max(0, in_flight - own_in_flight)
        )
        self._next_expiry = min(self._next_expiry, as_of + REPORT_MAX_AGE_S)
        self._update_estimate(endpoint_id)
        return MergeVerdict.TAKEN

    def report_total(self, endpoint_id: str, in_flight: int, *, age_s: float, now: float) -> None:
        """Handle a summary by the owner of an endpoint like a report of the engine."""
        old = self._reports.get(endpoint_id)
        incarnation = old.incarnation if old is not None else 0
        self.report_load(endpoint_id, in_flight, incarnation=incarnation, age_s=age_s, now=now)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Remove the report of an endpoint that is gone."""
        self._reports.pop(endpoint_id, None)
        self._update_estimate(endpoint_id)

    def get_estimate(self, endpoint_id: str, now: float) -> LoadEstimate:
        """Return the estimate for one endpoint and its age."""
        self.expire(now)
        return LoadEstimate(
            in_flight=self._estimates.get(endpoint_id, 0.0), age_s=self.get_age(endpoint_id, now)
        )

    def get_age(self, endpoint_id: str, now: float) -> float:
        """Return the age in seconds of the oldest count in the estimate."""
        as_of = min((peer.as_of for peer in self._peers.values()), default=now)
        report = self._reports.get(endpoint_id)
        if report is not None and self._uses_reports:
            as_of = min(as_of, report.as_of)
        return now - as_of

    def expire(self, now: float) -> None:
        """Expire old counts, reservations and reports; cheap unless any is due."""
        if now < self._next_expiry:
            return
        for source, peer in list(self._peers.items()):
            if now < peer.silent_at or source in self._silent_routers:
                continue
            self._silent_routers.add(source)
            self._peers[source] = peer.clear()
            self._replace_counts(peer.counts, {})
        self._release_reservations(self._reservations.expire(now))
        self._update_report_use()
        self._expire_reports(now)
        ages = [
            peer.silent_at for name, peer in self._peers.items() if name not in self._silent_routers
        ]
        ages += [report.as_of + REPORT_MAX_AGE_S for report in self._reports.values()]
        self._next_expiry = min([*ages, self._reservations.find_next_expiry()])

    def _expire_reports(self, now: float) -> None:
        for endpoint_id, report in list(self._reports.items()):
            if now - report.as_of >= REPORT_MAX_AGE_S:
                self.forget_endpoint(endpoint_id)

    def _update_report_use(self) -> None:
        """Update whether reports are used, which depends on silent routers."""
        complete = any(peer.complete for peer in self._peers.values())
        uses_reports = not complete or bool(self._silent_routers)
        if uses_reports == self._uses_reports:
            return
        self._uses_reports = uses_reports
        for endpoint_id in self._reports:
            self._update_estimate(endpoint_id)

    def _release_reservations(self, endpoint_ids: list[str]) -> None:
        for endpoint_id in endpoint_ids:
            self._others_in_flight[endpoint_id] = self._others_in_flight.get(endpoint_id, 0) - 1
            self._update_estimate(endpoint_id)

    def _replace_counts(self, old: dict[str, int], new: dict[str, int]) -> None:
        for endpoint_id in old.keys() | new.keys():
            change = new.get(endpoint_id, 0) - old.get(endpoint_id, 0)
            self._others_in_flight[endpoint_id] = (
                self._others_in_flight.get(endpoint_id, 0) + change
            )
            self._update_estimate(endpoint_id)

    def _uses_report(self, endpoint_id: str, report: EngineReport) -> bool:
        owned_since = self._owned.get(endpoint_id)
        if owned_since is None:
            return self._uses_reports
        return report.as_of < owned_since + SUMMARY_WARM_UP_S

    def _update_estimate(self, endpoint_id: str) -> None:
        others_in_flight = self._others_in_flight.get(endpoint_id, 0)
        report = self._reports.get(endpoint_id)
        if report is not None and self._uses_report(endpoint_id, report):
            others_in_flight = max(others_in_flight, report.others_in_flight)
        estimate = float(self._history.get(endpoint_id) + others_in_flight)
        if estimate:
            self._estimates[endpoint_id] = estimate
        else:
            self._estimates.pop(endpoint_id, None)
            self._others_in_flight.pop(endpoint_id, None)

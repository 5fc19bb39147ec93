"""The load book: own requests, counts of other routers and engines' reports."""

from chivetrack.components.load.const import (
    MAX_TOMBSTONES,
    PEER_SILENCE_S,
    REPORT_MAX_AGE_S,
)
from chivetrack.components.load.history import CountHistory
from chivetrack.components.load.models import LoadCounts, LoadEstimate, MergeVerdict
from chivetrack.components.load.peers import PeerCounts
from chivetrack.components.load.reports import EngineReport


class LoadBook:
    """Estimates the requests in flight on each endpoint.

    Own requests are exact. For those of other routers there are two sources, which
    are never added, since each of them covers the same requests:

    - the counts that the routers exchange, used alone while all known routers are heard;
    - the engine's report less the own requests in flight when it was taken. It also
      covers routers that this one doesn't hear, but lags more. While a router is silent
      the larger of both is used.
    """

    def __init__(self, *, router_id: str, incarnation: int = 0) -> None:
        """Start empty; ``incarnation`` must rise when this router restarts."""
        self._router_id = router_id
        self._incarnation = incarnation
        self._sequence = 0
        self._history = CountHistory()
        self._peers: dict[str, PeerCounts] = {}
        self._silent: set[str] = set()
        self._dead: dict[str, int] = {}
        self._reports: dict[str, EngineReport] = {}
        self._foreign: dict[str, int] = {}
        self._estimates: dict[str, float] = {}
        self._next_expiry = float("inf")
        self._uses_reports = True

    @property
    def estimates(self) -> dict[str, float]:
        """Return the estimate by endpoint id, for reading only; absent means 0."""
        return self._estimates

    def start(self, endpoint_id: str, now: float) -> None:
        """Count a request that is about to be sent to the endpoint."""
        self._history.change(endpoint_id, 1, now)
        self._estimates[endpoint_id] = self._estimates.get(endpoint_id, 0.0) + 1.0

    def finish(self, endpoint_id: str, now: float) -> None:
        """Count a request as over; a second call for one request is refused."""
        if self._history.get(endpoint_id) == 0:
            raise ValueError(f"no own request is in flight on {endpoint_id!r}")
        self._history.change(endpoint_id, -1, now)
        self._update(endpoint_id)

    def count_own(self, endpoint_id: str) -> int:
        """Return this router's own requests in flight on the endpoint."""
        return self._history.get(endpoint_id)

    def collect_counts(self, now: float) -> LoadCounts:
        """Return this router's counts as a message for the other routers."""
        self.expire(now)
        self._sequence += 1
        return LoadCounts(
            incarnation=self._incarnation,
            sequence=self._sequence,
            counts=self._history.copy_counts(),
        )

    def merge_counts(
        self, source: str, counts: LoadCounts, *, age_s: float, now: float
    ) -> MergeVerdict:
        """Take the counts of another router, which were ``age_s`` old on arrival."""
        self.expire(now)
        verdict = self._judge(source, counts, age_s)
        if verdict is not MergeVerdict.TAKEN:
            return verdict
        old = self._peers.get(source)
        self._peers[source] = PeerCounts.from_message(counts, as_of=now - age_s)
        self._silent.discard(source)
        self._dead.pop(source, None)
        self._next_expiry = min(self._next_expiry, now - age_s + PEER_SILENCE_S)
        self._replace(old.counts if old else {}, counts.counts)
        self._switch_reports()
        return verdict

    def _judge(self, source: str, counts: LoadCounts, age_s: float) -> MergeVerdict:
        if source == self._router_id:
            return MergeVerdict.OWN
        if counts.incarnation <= self._dead.get(source, -1):
            return MergeVerdict.DEAD
        old = self._peers.get(source)
        # Gossip delivers twice and out of order: an older message would bring back
        # requests that are over. The pair of incarnation and sequence only rises.
        if old is not None and (counts.incarnation, counts.sequence) <= old.order:
            return MergeVerdict.STALE
        return MergeVerdict.TOO_OLD if age_s >= PEER_SILENCE_S else MergeVerdict.TAKEN

    def drop_router(self, source: str, incarnation: int) -> None:
        """Forget a dead router at once; later counts of that incarnation are refused."""
        # Its connections are cut, so its requests are over; counts still under way
        # would bring them back for seconds and make its endpoints look full.
        self._dead[source] = max(incarnation, self._dead.get(source, -1))
        while len(self._dead) > MAX_TOMBSTONES:
            self._dead.pop(next(iter(self._dead)))
        old = self._peers.get(source)
        if old is not None and old.order[0] > incarnation:
            return
        self._silent.discard(source)
        if self._peers.pop(source, None) is not None and old is not None:
            self._replace(old.counts, {})
        self._switch_reports()

    def report_load(
        self, endpoint_id: str, in_flight: int, *, incarnation: int, age_s: float, now: float
    ) -> MergeVerdict:
        """Take an engine's own report, which was taken ``age_s`` before ``now``."""
        if age_s >= REPORT_MAX_AGE_S:
            return MergeVerdict.TOO_OLD
        as_of = now - age_s
        old = self._reports.get(endpoint_id)
        if old is not None and (incarnation, as_of) <= (old.incarnation, old.as_of):
            return MergeVerdict.STALE
        own_then = self._history.get_at(endpoint_id, as_of)
        self._reports[endpoint_id] = EngineReport(
            incarnation=incarnation, as_of=as_of, foreign=max(0, in_flight - own_then)
        )
        self._next_expiry = min(self._next_expiry, as_of + REPORT_MAX_AGE_S)
        self._update(endpoint_id)
        return MergeVerdict.TAKEN

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Drop what was reported of an endpoint that is gone."""
        self._reports.pop(endpoint_id, None)
        self._update(endpoint_id)

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
        """Stop using what is too old; cheap unless something is due."""
        if now < self._next_expiry:
            return
        for source, peer in list(self._peers.items()):
            if now - peer.as_of < PEER_SILENCE_S or source in self._silent:
                continue
            self._silent.add(source)
            self._peers[source] = peer.clear()
            self._replace(peer.counts, {})
        self._switch_reports()
        self._expire_reports(now)
        heard = [peer.as_of for source, peer in self._peers.items() if source not in self._silent]
        ages = [as_of + PEER_SILENCE_S for as_of in heard]
        ages += [report.as_of + REPORT_MAX_AGE_S for report in self._reports.values()]
        self._next_expiry = min(ages, default=float("inf"))

    def _expire_reports(self, now: float) -> None:
        for endpoint_id, report in list(self._reports.items()):
            if now - report.as_of >= REPORT_MAX_AGE_S:
                self.forget_endpoint(endpoint_id)

    def _switch_reports(self) -> None:
        """Begin or cease to use the engines' reports, as routers fall silent or speak."""
        uses_reports = not self._peers or bool(self._silent)
        if uses_reports == self._uses_reports:
            return
        self._uses_reports = uses_reports
        for endpoint_id in self._reports:
            self._update(endpoint_id)

    def _replace(self, old: dict[str, int], new: dict[str, int]) -> None:
        for endpoint_id in old.keys() | new.keys():
            change = new.get(endpoint_id, 0) - old.get(endpoint_id, 0)
            self._foreign[endpoint_id] = self._foreign.get(endpoint_id, 0) + change
            self._update(endpoint_id)

    def _update(self, endpoint_id: str) -> None:
        foreign = self._foreign.get(endpoint_id, 0)
        report = self._reports.get(endpoint_id)
        if report is not None and self._uses_reports:
            foreign = max(foreign, report.foreign)
        estimate = float(self._history.get(endpoint_id) + foreign)
        if estimate:
            self._estimates[endpoint_id] = estimate
        else:
            self._estimates.pop(endpoint_id, None)
            self._foreign.pop(endpoint_id, None)

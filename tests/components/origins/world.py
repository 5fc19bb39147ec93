"""Replicas, routers and endpoints of several versions; a test decides what is lost and restarts."""

from dataclasses import dataclass, field
from random import Random

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.origins.const import LOOKUP_TIMEOUT_S, SYNC_INTERVAL_S
from chivetrack.components.origins.fitting import list_beginning
from chivetrack.components.origins.ledger import OriginLedger
from chivetrack.components.origins.lookup import OriginLookup
from chivetrack.components.origins.messages import OriginAnswer, OriginQuery
from chivetrack.components.origins.models import Origin, OriginBasis, OriginVerdict
from chivetrack.components.origins.tracker import OriginTracker
from tests.components.announcements.test_table import make_record

SERVICE = "llm"
TICK_S = 0.05
# A replica needs longer to start than a query takes.
RESTART_S = 2 * LOOKUP_TIMEOUT_S
MAX_DELAY_S = 1.6 * LOOKUP_TIMEOUT_S
MAX_SPREAD_S = 4.0
LOST_RECORDS = 0.7
STREAM_TTL_S = 20.0


@dataclass(slots=True)
class Replica:
    """A replica and its ledger; it answers nothing while it restarts."""

    ledger: OriginLedger
    starts_at: float = float("-inf")
    synced_at: float = float("-inf")


@dataclass(slots=True)
class Router:
    """A router, and the endpoints that it knows, which may be outdated."""

    tracker: OriginTracker = field(default_factory=OriginTracker)
    known: list[EndpointRecord] = field(default_factory=list)


@dataclass(slots=True)
class Stream:
    """A stream, where it began in truth, and the router that it began at."""

    request: str
    origin: Origin
    router: str


@dataclass(slots=True)
class PendingQuery:
    """A query on its way; answers count until ``ends_at``."""

    router: str
    query: OriginQuery
    ends_at: float
    arrivals: list[tuple[float, str]]
    answers: list[tuple[float, str, OriginAnswer]] = field(default_factory=list)
    stream: Stream | None = None
    lookup: OriginLookup | None = None
    verdict: OriginVerdict | None = None
    registration: dict[str, OriginAnswer] = field(default_factory=dict)


class World:
    """Steps through time; ``verdicts`` are the streams taken up and what was found out."""

    def __init__(self, seed: int, *, replicas: int = 5, routers: int = 3) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.replicas = {
            f"p{number}": Replica(OriginLedger(started_at=0.0, is_complete=True))
            for number in range(replicas)
        }
        self.routers = {f"r{number}": Router() for number in range(routers)}
        self.endpoints: list[EndpointRecord] = []
        self.cut: set[frozenset[str]] = set()
        self.streams: list[Stream] = []
        self.verdicts: list[tuple[Stream, OriginVerdict]] = []
        self._pending: list[PendingQuery] = []
        self._heard_at: dict[tuple[str, str], float] = {}
        self._count = 0

    def reaches(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut

    # What happens

    def start_endpoint(self, software: str) -> None:
        """Start an endpoint that announces itself to one replica; the others hear of it later."""
        self._count += 1
        record = make_record(endpoint_id=f"e{self._count}", software=software)
        self.endpoints.append(record)
        first = self.random.choice(sorted(self.replicas))
        for name in self.replicas:
            delay = 0.0 if name == first else self.random.uniform(0.0, MAX_SPREAD_S)
            self._heard_at[name, record.endpoint_id] = self.now + delay

    def _list_heard(self, replica: str) -> list[EndpointRecord]:
        return [
            one
            for one in self.endpoints
            if self._heard_at[replica, one.endpoint_id] <= self.now and self._is_up(replica)
        ]

    def stop_endpoint(self) -> None:
        if len(self.endpoints) > 1:
            self.endpoints.pop(self.random.randrange(len(self.endpoints)))

    def restart_replica(self, name: str) -> None:
        starts_at = self.now + RESTART_S
        self.replicas[name] = Replica(OriginLedger(started_at=starts_at), starts_at=starts_at)

    def restart_router(self, name: str) -> None:
        self.routers[name] = Router()
        self._pending = [one for one in self._pending if one.router != name]

    def begin_stream(self, name: str) -> None:
        """Begin a stream at an endpoint that still serves, though the router may be outdated."""
        router = self.routers[name]
        usable = [one for one in router.known if one in self.endpoints]
        fitting = list_beginning(usable, may_begin=router.tracker.may_begin)
        if not fitting:
            return
        record = self.random.choice(fitting)
        self._count += 1
        stream = Stream(f"q{self._count}", Origin(record.service, record.software), name)
        router.tracker.record_begin(
            stream.request, stream.origin, ttl_s=STREAM_TTL_S, is_only_service=True, now=self.now
        )
        self.streams.append(stream)

    def take_up(self, stream: Stream, name: str) -> None:
        """Let a caller take up a stream at a router."""
        own = self.routers[name].tracker.find_own(stream.request, now=self.now)
        if own is not None:
            assert own[0] == stream.origin, (own, stream)
            return
        pending = self._ask(name, OriginQuery(0, services=(SERVICE,), request=stream.request))
        pending.stream, pending.lookup = stream, OriginLookup(services=[SERVICE])

    # Time

    def step(self) -> None:
        self.now += TICK_S
        self._update_routers()
        self._sync_replicas()
        self._send_records()
        for pending in list(self._pending):
            self._deliver(pending)
            if self.now > pending.ends_at:
                self._pending.remove(pending)
                self._finish(pending)

    def _is_up(self, name: str) -> bool:
        return self.replicas[name].starts_at <= self.now

    def _update_routers(self) -> None:
        for name, router in self.routers.items():
            near = [one for one in self.replicas if self._is_up(one) and self.reaches(name, one)]
            if near:
                heard = {one.endpoint_id for replica in near for one in self._list_heard(replica)}
                router.known = [one for one in self.endpoints if one.endpoint_id in heard]
            origins = {Origin(one.service, one.software) for one in router.known}
            router.tracker.update_announced(origins, now=self.now)
            is_asking = any(one.router == name and one.lookup is None for one in self._pending)
            if origins and self.now >= router.tracker.register_at and not is_asking:
                registers = tuple(sorted(origins, key=lambda one: one.software))
                self._ask(name, OriginQuery(0, services=(SERVICE,), registers=registers))

    def _sync_replicas(self) -> None:
        for name, replica in self.replicas.items():
            if not self._is_up(name):
                continue
            if round(self.now / TICK_S) % 20 == 0:
                replica.ledger.refresh(self._list_heard(name), now=self.now)
            if replica.ledger.is_complete or self.now - replica.synced_at < SYNC_INTERVAL_S:
                continue
            replica.synced_at = self.now
            others = [one for one in self.replicas if one != name and self._is_up(one)]
            answers = {
                one: self._answer(one, OriginQuery(0))
                for one in others
                if self.reaches(name, one) and self.random.random() < 0.8
            }
            replica.ledger.merge(answers, now=self.now)

    def _send_records(self) -> None:
        for name, router in self.routers.items():
            records = router.tracker.pop_records(now=self.now)
            if not records.groups:
                continue
            for target in self.random.sample(sorted(self.replicas), 3):
                is_lost = self.random.random() < LOST_RECORDS
                if not is_lost and self._is_up(target) and self.reaches(name, target):
                    self.replicas[target].ledger.handle_records(records, now=self.now)

    def _ask(self, router: str, query: OriginQuery) -> PendingQuery:
        arrivals = [(self.now + self._draw_delay(), one) for one in self.replicas]
        pending = PendingQuery(router, query, self.now + LOOKUP_TIMEOUT_S, arrivals)
        self._pending.append(pending)
        return pending

    def _draw_delay(self) -> float:
        return 0.0 if self.random.random() < 0.7 else self.random.uniform(0.0, MAX_DELAY_S)

    def _answer(self, replica: str, query: OriginQuery) -> OriginAnswer:
        members = tuple(self.replicas)
        return self.replicas[replica].ledger.answer(query, members=members, now=self.now)

    def _deliver(self, pending: PendingQuery) -> None:
        for arrival in [one for one in pending.arrivals if one[0] <= self.now]:
            pending.arrivals.remove(arrival)
            replica = arrival[1]
            if self._is_up(replica) and self.reaches(pending.router, replica):
                answer = self._answer(replica, pending.query)
                pending.answers.append((self.now + self._draw_delay(), replica, answer))
        for arrived in [one for one in pending.answers if one[0] <= self.now <= pending.ends_at]:
            pending.answers.remove(arrived)
            self._handle_answer(pending, arrived[1], arrived[2])

    def _record_taken_up(self, router: str, stream: Stream, verdict: OriginVerdict) -> None:
        if verdict.origin is None:
            return
        self.routers[router].tracker.record_begin(
            stream.request,
            verdict.origin,
            ttl_s=STREAM_TTL_S,
            is_only_service=True,
            now=self.now,
            is_inferred=verdict.basis is OriginBasis.ONLY_VERSION,
        )

    @staticmethod
    def _handle_answer(pending: PendingQuery, source: str, answer: OriginAnswer) -> None:
        if pending.lookup is None:
            pending.registration[source] = answer
        elif pending.verdict is None:
            pending.verdict = pending.lookup.handle_answer(source, answer)

    def _finish(self, pending: PendingQuery) -> None:
        if pending.lookup is not None:
            assert pending.stream is not None
            verdict = pending.verdict or pending.lookup.conclude()
            self.verdicts.append((pending.stream, verdict))
            self._record_taken_up(pending.router, pending.stream, verdict)
            return
        self.routers[pending.router].tracker.handle_registration(
            pending.query.registers,
            pending.registration,
            began_at=pending.ends_at - LOOKUP_TIMEOUT_S,
            now=self.now,
        )

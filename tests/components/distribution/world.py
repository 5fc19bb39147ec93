"""A replica and routers whose messages a test delivers step by step."""

import json
import zlib

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.messages import (
    DocumentSent,
    EndpointLoad,
    FetchDocument,
    Follow,
    PlacedPart,
    View,
)
from chivetrack.components.distribution.publisher import Publisher
from chivetrack.components.distribution.subscriber import RouterReport, Subscriber
from chivetrack.components.document.store import StoredDocument
from chivetrack.core import SendMessage


def make_body(routes: int, *, quota: int) -> bytes:
    """Return a document of about 100 bytes a route."""
    listed = [
        {"host": f"h{n}.example", "prefix": f"/{n * 7919 % 9973}/", "timeout": 1000 + n % 7}
        for n in range(routes)
    ]
    return json.dumps({"version": quota, "routes": listed, "quota": {"t1": quota}}).encode()


class Fixture:
    """A replica and a router whose messages a test delivers step by step."""

    def __init__(
        self, run: str = "run1", own: EndpointTable | None = None, boot_now: float = 0.0
    ) -> None:
        self.table = EndpointTable()
        self.taken: list[int] = []
        self.unreadable: list[int] = []
        self.bodies: dict[int, bytes] = {}
        self.report = RouterReport(loads=(), placed=())
        self.publisher = self.make_publisher(run)
        self.own = EndpointTable() if own is None else own
        self.boot_now = boot_now
        self.subscriber = Subscriber(
            router="r1",
            document_address="r1:80",
            seeds=["p1"],
            table=self.own,
            apply_document=self.apply_document,
            on_unreadable=lambda version, detail: self.unreadable.append(version),
            on_bad_update=lambda replica, detail: None,
            get_report=lambda: self.report,
            read_boot_clock=lambda: self.boot_now,
        )

    def make_publisher(self, run: str) -> Publisher:
        return Publisher(
            replica="p1",
            run=run,
            table=self.table,
            list_replicas=lambda: ("p1", "p2"),
        )

    def apply_document(self, version: int, body: bytes) -> None:
        self.taken.append(version)
        self.bodies[version] = body

    def put(self, version: int, body: bytes = b"{}") -> None:
        stored = StoredDocument(version=version, payload=zlib.compress(body))
        self.publisher.history.set_current(stored)

    def follow(self, now: float) -> Follow:
        follow, _ = self._wake(now)
        return follow

    def _wake(self, now: float) -> tuple[Follow, list[SendMessage]]:
        """Return the poll that is due, and the requests for a document."""
        sent = [one for one in self.subscriber.wake(now=now) if isinstance(one, SendMessage)]
        follows = [one.message for one in sent if isinstance(one.message, Follow)]
        assert follows, "no follow was due"
        return follows[0], [one for one in sent if isinstance(one.message, FetchDocument)]

    def exchange_until(self, end: float) -> None:
        """Deliver polls and answers as they become due, up to the time ``end``."""
        for step in range(1, int(end / 0.1) + 1):
            for effect in self.subscriber.wake(now=step * 0.1):
                if isinstance(effect, SendMessage) and isinstance(effect.message, Follow):
                    (answer,) = self.publisher.handle_follow(effect.message, now=step * 0.1)
                    assert isinstance(answer.message, View)
                    self.subscriber.handle_view(effect.target, answer.message, now=step * 0.1)

    def exchange(self, now: float) -> list[SendMessage]:
        """Deliver one poll and its answer; return the router's requests for a document."""
        follow, requests = self._wake(now)
        (answer,) = self.publisher.handle_follow(follow, now=now)
        assert isinstance(answer.message, View)
        self.subscriber.handle_view("p1", answer.message, now=now)
        due = self.subscriber.documents.request_due(now=now)
        return requests + [effect for effect in due if isinstance(effect, SendMessage)]


def count_bytes(sent: SendMessage) -> int:
    """Return the size of a document on the replica's link; a redirect counts as 0."""
    return len(sent.message.payload) if isinstance(sent.message, DocumentSent) else 0


class Watch:
    """A router of a large fleet and five replicas that answer at once unless frozen."""

    replicas = ("p1", "p2", "p3", "p4", "p5")

    def __init__(self, router: str) -> None:
        self.frozen: set[str] = set()
        self.subscriber = Subscriber(
            router=router,
            document_address="",
            seeds=self.replicas[:3],
            table=EndpointTable(),
            apply_document=lambda version, body: None,
            on_unreadable=lambda version, detail: None,
            on_bad_update=lambda replica, detail: None,
            get_report=lambda: RouterReport(loads=(), placed=()),
        )
        self.run(0.0, 3.0)

    def run(self, start: float, end: float) -> list[tuple[float, str]]:
        """Return when the router polled which replica."""
        polls: list[tuple[float, str]] = []
        for step in range(round((end - start) * 20)):
            now = start + step * 0.05
            for effect in self.subscriber.wake(now=now):
                if isinstance(effect, SendMessage):
                    polls.append((now, effect.target))
                    if effect.target not in self.frozen:
                        self.subscriber.handle_view(effect.target, self.make_view(), now=now)
        return polls

    def make_view(self) -> View:
        return View(
            run="run",
            base=0,
            change=0,
            version=0,
            records=(),
            replicas=self.replicas,
            silent=(),
            routers=195,
            has_loads=True,
        )


def make_assigned_follow(
    router: str,
    running: int = 0,
    *,
    run: str = "",
    change: int = 0,
    version: int = 0,
    placed: tuple[PlacedPart, ...] = (),
    placed_change: int = 0,
    is_stopping: bool = False,
) -> Follow:
    """Return a router's poll of its assigned replica."""
    loads = (EndpointLoad(endpoint_id="e1", running=running, tokens=10),) if running else ()
    return Follow(
        router=router,
        run=run,
        change=change,
        version=version,
        loads=loads,
        placed=placed,
        is_assigned=True,
        placed_change=placed_change,
        is_stopping=is_stopping,
    )

"""A replica's side: who follows, what each one has, what is sent to whom."""

from collections.abc import Callable
from dataclasses import dataclass, field

from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.distribution.const import ROUTER_GONE_S, ROUTER_SILENT_S
from chivetrack.components.distribution.messages import (
    DocumentSent,
    EndpointLoad,
    FetchDocument,
    Follow,
    PlacedPart,
    View,
)
from chivetrack.components.distribution.placements import Placements
from chivetrack.components.document.store import StoredDocument
from chivetrack.core import SendMessage


@dataclass(slots=True, kw_only=True)
class _Router:
    """What is known of a router that follows."""

    zone: str
    heard_at: float
    sent_change: int
    loads: tuple[EndpointLoad, ...] = ()
    placed: tuple[PlacedPart, ...] = ()


@dataclass(slots=True, kw_only=True)
class Publisher:
    """Decides what routers are sent; ``run`` names this process of the replica."""

    run: str
    table: EndpointTable
    list_replicas: Callable[[], tuple[str, ...]]
    get_document: Callable[[], StoredDocument]
    placements: Placements = field(default_factory=Placements)
    _routers: dict[str, _Router] = field(default_factory=dict)

    def take_follow(self, follow: Follow, *, now: float) -> list[SendMessage]:
        """Answer a router with what it lacks."""
        is_new = follow.run != self.run
        change = 0 if is_new else follow.change
        self.placements.note(follow.placed, now=now)
        router = _Router(
            zone=follow.zone,
            heard_at=now,
            sent_change=change,
            loads=follow.loads,
            placed=follow.placed,
        )
        self._routers[follow.router] = router
        placed = self.placements.list_all(now) if is_new else None
        return [self._make_view(follow.router, router, now, placed)]

    def take_fetch(self, source: str, fetch: FetchDocument) -> list[SendMessage]:
        """Send the newest document to a router that lacks it."""
        document = self.get_document()
        if document.version <= fetch.held_version:
            return []
        sent = DocumentSent(version=document.version, payload=document.payload)
        return [SendMessage(target=source, message=sent)]

    def publish(self, *, now: float) -> list[SendMessage]:
        """Push what has changed to all routers."""
        gone = [
            one for one, router in self._routers.items() if now - router.heard_at > ROUTER_GONE_S
        ]
        for one in gone:
            del self._routers[one]
        return [self._make_view(one, router, now) for one, router in self._routers.items()]

    def _make_view(
        self,
        name: str,
        router: _Router,
        now: float,
        placed: tuple[PlacedPart, ...] | None = None,
    ) -> SendMessage:
        base = router.sent_change
        router.sent_change = self.table.change
        view = View(
            run=self.run,
            base=base,
            change=self.table.change,
            version=self.get_document().version,
            records=tuple(self.table.list_changes(base)),
            replicas=self.list_replicas(),
            silent=tuple(self.table.list_silent(now)),
            loads=self._sum_loads(name, now),
            routers=len(self._routers),
            placed=self._join_placed(name, now) if placed is None else placed,
        )
        return SendMessage(target=name, message=view)

    def _list_others(self, name: str, now: float) -> list[_Router]:
        return [
            router
            for other, router in self._routers.items()
            if other != name and now - router.heard_at <= ROUTER_SILENT_S
        ]

    def _sum_loads(self, name: str, now: float) -> tuple[EndpointLoad, ...]:
        sums: dict[str, tuple[int, int]] = {}
        for router in self._list_others(name, now):
            for load in router.loads:
                running, tokens = sums.get(load.endpoint_id, (0, 0))
                sums[load.endpoint_id] = (running + load.running, tokens + load.tokens)
        return tuple(
            EndpointLoad(endpoint_id=one, running=running, tokens=tokens)
            for one, (running, tokens) in sums.items()
        )

    def _join_placed(self, name: str, now: float) -> tuple[PlacedPart, ...]:
        return tuple(part for router in self._list_others(name, now) for part in router.placed)

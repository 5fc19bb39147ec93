"""Exchanges the demands of workspaces between routers by gossip."""

from collections.abc import Callable, Collection

from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import Urgency, ValueUpdate
from chivetrack.components.limits.const import DEMAND_INTERVAL_S
from chivetrack.components.limits.models import DemandReport
from chivetrack.components.limits.shares import ShareTracker
from chivetrack.core import Effect, Event, TimeReached, WakeAt
from chivetrack.helpers.codec import DecodeError, decode_as, encode

TOPIC_DEMAND = "demand"


class DemandExchange:
    """Publishes this router's demands when they change and merges those of other routers."""

    def __init__(
        self,
        *,
        shares: ShareTracker,
        gossip: Gossip,
        list_routers: Callable[[], Collection[str]],
    ) -> None:
        """Subscribe to demand reports; ``list_routers`` returns the ids of live routers."""
        self._shares = shares
        self._gossip = gossip
        self._list_routers = list_routers
        self._next = float("-inf")
        self._published: dict[str, float] | None = None
        gossip.subscribe(TOPIC_DEMAND, self._handle_update)

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Publish the demands every ``DEMAND_INTERVAL_S``."""
        if not isinstance(event, TimeReached):
            return []
        if now >= self._next:
            self._next = now + DEMAND_INTERVAL_S
            self._shares.set_routers(self._list_routers())
            self._publish(now)
        return [WakeAt(at=self._next)]

    def _publish(self, now: float) -> None:
        report = self._shares.collect_demands(now)
        if report.demands == self._published:
            return
        self._published = report.demands
        self._gossip.publish(TOPIC_DEMAND, "", encode(report), Urgency.OVERLOAD, now=now)

    def _handle_update(self, update: ValueUpdate) -> None:
        if update.payload is None:
            return
        try:
            report = decode_as(DemandReport, update.payload)
        except DecodeError:
            return
        self._shares.merge_demands(update.origin, report)

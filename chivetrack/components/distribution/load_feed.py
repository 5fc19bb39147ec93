"""Decides how the loads of many endpoints reach many routers; free of I/O."""

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field

from chivetrack.components.distribution.const import (
    INLINE_LOADS,
    LOAD_BYTES_PER_S,
    LOAD_REPORT_INTERVAL_S,
    MAX_LOAD_INTERVAL_S,
)
from chivetrack.components.distribution.fanout import Fanout
from chivetrack.components.distribution.load_packing import pack_loads
from chivetrack.components.distribution.messages import EndpointLoad, LoadUpdate
from chivetrack.core import SendMessage


@dataclass(slots=True, kw_only=True)
class LoadFeed:
    """Sends the same packed loads to all assigned routers, less often the larger they are.

    With 3,000 endpoints in use, each answer to each of 60 routers would hold kilobytes of loads.
    This is several times what a link of 4 Mbit/s carries, and the log would wait behind it.
    ``is_broadcast``: loads are sent as separate updates and not within the answers.
    """

    replica: str
    fanout: Fanout
    is_broadcast: bool = False
    _next_at: float = float("-inf")
    _sent_at: dict[str, float] = field(default_factory=dict)

    def send_due(
        self,
        routers: Collection[str],
        sum_loads: Callable[[], tuple[EndpointLoad, ...]],
        *,
        now: float,
    ) -> Iterator[SendMessage]:
        """Yield the loads for ``routers`` if they are due and too many for the answers.

        The first routers forward them.
        """
        if now < self._next_at:
            return
        loads = sum_loads()
        self.is_broadcast = len(loads) * len(routers) > INLINE_LOADS
        self._next_at = now + LOAD_REPORT_INTERVAL_S
        if not self.is_broadcast:
            self._sent_at.clear()
            return
        payload = pack_loads(loads)
        interval_s = min(
            MAX_LOAD_INTERVAL_S, max(LOAD_REPORT_INTERVAL_S, len(payload) / LOAD_BYTES_PER_S)
        )
        self._next_at = now + interval_s
        yield from self._send(routers, payload, now)

    def _send(self, routers: Collection[str], payload: bytes, now: float) -> Iterator[SendMessage]:
        # Routers that did not fit into the last round come first in this one.
        never = float("-inf")
        ordered = sorted(routers, key=lambda router: self._sent_at.get(router, never))
        self._sent_at = {router: self._sent_at.get(router, never) for router in ordered}
        for delivery in self.fanout.plan(ordered, len(payload), now=now):
            self._sent_at.update(dict.fromkeys((delivery.first, *delivery.others), now))
            update = LoadUpdate(replica=self.replica, payload=payload, forward_to=delivery.others)
            yield SendMessage(target=delivery.first, message=update)

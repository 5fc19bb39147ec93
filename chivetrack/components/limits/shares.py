"""Computes the share of a fleet-wide limit that this router may use.

A router's share is its demand divided by the sum of the demands of all routers. A small
prior is added to each demand, so that a router that gets the first requests of a workspace
can admit some at once.

If a router used a higher demand at once, its share would grow before the shares of the
other routers shrink, and together they would exceed the limit. Therefore it publishes a
higher demand first and uses it ``SHARE_GROWTH_DELAY_S`` later, when the other routers have
received it. It uses a lower demand at once. The demand of router j that router i has
received is then never less than the demand that j uses, so the shares

    used_i / (used_i + sum of the demands that i received from other routers)

add up to at most one, as long as reports arrive within the delay. A router that has just
started has received no reports and has a share of zero until the delay has passed.

Routers on the two sides of a network partition keep each other's last demands until
membership declares the other side dead. From then on each side uses the whole limit.
"""

from collections import deque
from collections.abc import Collection
from itertools import takewhile
from math import floor

from xxhash import xxh3_64_intdigest

from chivetrack.components.limits.const import PRIOR_DEMAND_PER_S, SHARE_GROWTH_DELAY_S
from chivetrack.components.limits.demand import DemandMeter
from chivetrack.components.limits.models import DemandReport

_ROUND = 0.5


class ShareTracker:
    """Tracks the demands of this router and those reported by other routers."""

    def __init__(self, *, router_id: str, incarnation: int = 0) -> None:
        """Initialize with no other router.

        ``incarnation`` must be higher after each restart of this router.
        """
        self._router_id = router_id
        self._incarnation = incarnation
        self._sequence = 0
        self._meter = DemandMeter()
        self._reported: deque[tuple[float, dict[str, float]]] = deque()
        self._used_demands: dict[str, float] = {}
        self._peer_reports: dict[str, DemandReport] = {}
        self._routers = [router_id]
        self._growth_delay_passed = False

    def set_routers(self, router_ids: Collection[str]) -> None:
        """Set the routers known to membership and drop the reports of all others."""
        self._routers = sorted({*router_ids, self._router_id})
        for source in list(self._peer_reports):
            if source not in router_ids:
                del self._peer_reports[source]

    def record_request(self, workspace: str, now: float) -> None:
        """Count a request of a workspace, whether it is admitted or refused."""
        self._meter.record(workspace, now)

    def collect_demands(self, now: float) -> DemandReport:
        """Return this router's demands to publish; called every ``DEMAND_INTERVAL_S``."""
        self._sequence += 1
        demands = self._meter.collect(now)
        self._reported.append((now, demands))
        while len(self._reported) > 1 and self._reported[1][0] <= now - SHARE_GROWTH_DELAY_S:
            self._reported.popleft()
        self._growth_delay_passed = self._reported[0][0] <= now - SHARE_GROWTH_DELAY_S
        self._used_demands = self._compute_used_demands()
        return DemandReport(incarnation=self._incarnation, sequence=self._sequence, demands=demands)

    def merge_demands(self, source: str, report: DemandReport) -> bool:
        """Merge another router's report and return whether it was newer."""
        if source == self._router_id or source not in self._routers:
            return False
        old = self._peer_reports.get(source)
        if old is not None and _get_version(report) <= _get_version(old):
            return False
        self._peer_reports[source] = report
        return True

    def get_share(self, workspace: str) -> float:
        """Return the fraction of the workspace's rate that this router may use."""
        if not self._may_use_share:
            return 0.0
        return self._compute_share(self._router_id, workspace, self._sum_demands(workspace))

    def allot_units(self, workspace: str, limit: int) -> int:
        """Return how many of ``limit`` concurrent requests this router may run.

        Rounding up each router's share would let 380 routers run 380 requests at a limit
        of four. Instead each router rounds the sum of the shares up to and including its
        own, in an order that all routers agree on, and subtracts the rounded sum before
        it. The results add up to ``limit`` once all routers know the same demands.
        """
        if not self._may_use_share:
            return 0
        total = self._sum_demands(workspace)
        before = sum(
            self._compute_share(router_id, workspace, total)
            for router_id in takewhile(self._router_id.__ne__, self._order_routers(workspace))
        )
        own = self._compute_share(self._router_id, workspace, total)
        return floor(limit * (before + own) + _ROUND) - floor(limit * before + _ROUND)

    @property
    def _may_use_share(self) -> bool:
        return self._growth_delay_passed or len(self._routers) == 1

    def _order_routers(self, workspace: str) -> list[str]:
        """Return the routers, rotated to a start that depends on the workspace."""
        first = xxh3_64_intdigest(workspace.encode()) % len(self._routers)
        return self._routers[first:] + self._routers[:first]

    def _get_demand(self, router_id: str, workspace: str) -> float:
        if router_id == self._router_id:
            return self._used_demands.get(workspace, 0.0)
        report = self._peer_reports.get(router_id)
        return report.demands.get(workspace, 0.0) if report else 0.0

    def _sum_demands(self, workspace: str) -> float:
        return sum(self._get_demand(router_id, workspace) for router_id in self._routers)

    def _compute_share(self, router_id: str, workspace: str, total: float) -> float:
        prior = PRIOR_DEMAND_PER_S / len(self._routers)
        return (self._get_demand(router_id, workspace) + prior) / (total + PRIOR_DEMAND_PER_S)

    def _compute_used_demands(self) -> dict[str, float]:
        """Return, by workspace, the least demand published within the growth delay."""
        newest = self._reported[-1][1]
        return {
            workspace: min(demands.get(workspace, 0.0) for _, demands in self._reported)
            for workspace in newest
        }


def _get_version(report: DemandReport) -> tuple[int, int]:
    return (report.incarnation, report.sequence)

"""What a replica knows of each router that polls it, and of the other replicas' routers."""

from collections.abc import Mapping
from dataclasses import dataclass

from chivetrack.components.distribution.const import RESEND_AFTER_S
from chivetrack.components.distribution.messages import Carrier, EndpointLoad, Exchange


@dataclass(slots=True, kw_only=True)
class RouterState:
    """State of one router that polls this replica."""

    last_seen_at: float
    is_assigned: bool
    placed_change: int = 0
    placements_sent_at: float = float("-inf")
    loads: tuple[EndpointLoad, ...] = ()
    version: int = 0
    document_address: str = ""
    quarantine_revision: int = 0
    silent_revision: int = 0
    is_stopping: bool = False
    can_carry: bool = False
    needs_carriers: bool = False
    lost_services: tuple[str, ...] = ()
    applied_at: float = float("-inf")

    def record_version(self, version: int, now: float) -> None:
        """Record the version in a poll, which a later confirmation may have overtaken.

        A router that has restarted polls without a version first.
        """
        is_overtaken = 0 < version < self.version and now - self.applied_at <= RESEND_AFTER_S
        if not is_overtaken:
            self.version = version

    def confirm(self, placed_change: int, now: float) -> None:
        """Record up to which change the router has placements; more may be in flight."""
        if placed_change >= self.placed_change or now - self.placements_sent_at > RESEND_AFTER_S:
            self.placed_change = placed_change


@dataclass(slots=True, kw_only=True)
class PeerState:
    """The last exchange message of another replica about the routers assigned to it."""

    last_seen_at: float
    exchange: Exchange


def list_carriers(routers: Mapping[str, RouterState]) -> list[Carrier]:
    """Return the routers that carry connections to endpoints for others."""
    return [
        Carrier(name, router.lost_services) for name, router in routers.items() if router.can_carry
    ]


def count_stopping(routers: Mapping[str, RouterState]) -> int:
    """Return how many routers are stopping."""
    return sum(1 for router in routers.values() if router.is_stopping)

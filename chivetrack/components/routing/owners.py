"""Assignment of endpoints to the routers that grant their slots."""

from collections.abc import Collection

from xxhash import xxh3_64_intdigest

from chivetrack.components.routing.order import find_group


class OwnerMap:
    """Assigns an owner to each group of endpoints by rendezvous hashing over the routers."""

    def __init__(self, *, router_ids: Collection[str]) -> None:
        """Initialize the map with all routers known to membership, including this one."""
        self._router_ids = sorted(router_ids)
        self._owners: dict[int, str] = {}

    def set_routers(self, router_ids: Collection[str]) -> None:
        """Replace the routers; only groups of added or removed routers change their owner."""
        self._router_ids = sorted(router_ids)
        self._owners.clear()

    def find_owner(self, endpoint_id: str) -> str:
        """Return the id of the router that owns an endpoint."""
        group = find_group(endpoint_id)
        owner = self._owners.get(group)
        if owner is None:
            owner = max(self._router_ids, key=lambda each: _score(each, group))
            self._owners[group] = owner
        return owner


def _score(router_id: str, group: int) -> int:
    return xxh3_64_intdigest(router_id.encode(), group)

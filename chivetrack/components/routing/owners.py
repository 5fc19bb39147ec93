"""Which router grants the slots of an endpoint."""

from collections.abc import Collection

from xxhash import xxh3_64_intdigest

from chivetrack.components.routing.order import find_group


class OwnerMap:
    """Owners by rendezvous hashing of the endpoints' groups over the routers."""

    def __init__(self, *, router_ids: Collection[str]) -> None:
        """Take over the routers that membership knows of, this one included."""
        self._router_ids = sorted(router_ids)
        self._owners: dict[int, str] = {}

    def set_routers(self, router_ids: Collection[str]) -> None:
        """Change the routers; only groups of routers that are gone or new move."""
        self._router_ids = sorted(router_ids)
        self._owners.clear()

    def find_owner(self, endpoint_id: str) -> str:
        """Return the router that owns an endpoint."""
        group = find_group(endpoint_id)
        owner = self._owners.get(group)
        if owner is None:
            owner = max(self._router_ids, key=lambda each: _score(each, group))
            self._owners[group] = owner
        return owner


def _score(router_id: str, group: int) -> int:
    return xxh3_64_intdigest(router_id.encode(), group)

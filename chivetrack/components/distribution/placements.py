"""What a replica remembers of where routers sent parts of prompts."""

from collections import OrderedDict
from collections.abc import Iterable

from chivetrack.components.distribution.messages import PlacedPart

# A router that starts is told of at most so many; 45 bytes each, 0.04 s on 6 Mbit/s.
MAX_PLACEMENTS = 700
# Engines keep parts for minutes, yet what was not used for so long is rarely asked for.
REMEMBER_S = 60.0


class Placements:
    """Keeps the latest placements of all routers for those that start later.

    Every router of a rolling restart began with empty hands and had dossiers of 10,000
    tokens read at engines that lacked them, although others held them.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._placed: OrderedDict[tuple[str, str], float] = OrderedDict()
        self.change = 0

    def note(self, placed: Iterable[PlacedPart], *, now: float) -> None:
        """Remember what a router has told."""
        for one in placed:
            key = (one.part, one.endpoint_id)
            self._placed[key] = max(now - one.age_s, self._placed.get(key, float("-inf")))
            self._placed.move_to_end(key)
            self.change += 1
        while len(self._placed) > MAX_PLACEMENTS:
            self._placed.popitem(last=False)

    def list_all(self, now: float) -> tuple[PlacedPart, ...]:
        """Return what is remembered, oldest first."""
        return tuple(
            PlacedPart(part=part, endpoint_id=endpoint_id, age_s=round(now - at, 3))
            for (part, endpoint_id), at in self._placed.items()
            if now - at <= REMEMBER_S
        )

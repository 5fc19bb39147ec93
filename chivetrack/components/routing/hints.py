"""Cache hints: the endpoints that probably hold the context of a chat."""

from collections import OrderedDict
from dataclasses import dataclass

from chivetrack.components.routing.const import (
    HINT_CAPACITY,
    HINT_HOLDERS,
    HINT_MAX_AGE_S,
    HINTS_SILENCE_S,
    HINTS_WARM_UP_S,
)


@dataclass(frozen=True, slots=True)
class _Hint:
    endpoint_id: str
    incarnation: int
    stored_at: float


class CacheHints:
    """Bounded table of the endpoints that last stored the context of each chat.

    Hints only change the order of the endpoints that fit, and a wrong hint costs a cache
    miss. Cache events may therefore arrive late, out of order, twice or not at all.
    """

    def __init__(
        self,
        *,
        capacity: int = HINT_CAPACITY,
        max_age_s: float = HINT_MAX_AGE_S,
        holders: int = HINT_HOLDERS,
    ) -> None:
        """Initialize a table of at most ``capacity`` chats, with ``holders`` endpoints each."""
        self._capacity = capacity
        self._max_age_s = max_age_s
        self._holders = holders
        self._hints: OrderedDict[bytes, tuple[_Hint, ...]] = OrderedDict()
        self._incarnations: dict[str, int] = {}
        self._first_at: float | None = None
        self._last_at = 0.0

    def __len__(self) -> int:
        return len(self._hints)

    def store(self, key: bytes, endpoint_id: str, incarnation: int, *, stored_at: float) -> None:
        """Record that an endpoint stored the context of a chat at ``stored_at``."""
        self._record_event_time(stored_at)
        if not self._update_incarnation(endpoint_id, incarnation):
            return
        hints = [hint for hint in self._hints.get(key, ()) if self._is_current(hint)]
        previous = next((hint for hint in hints if hint.endpoint_id == endpoint_id), None)
        if previous is not None and previous.stored_at >= stored_at:
            return
        if previous is not None:
            hints.remove(previous)
        hints.append(_Hint(endpoint_id, incarnation, stored_at))
        # Sorted by the time of the engines: a late event must not send a chat back to the
        # endpoint that it used before its last turn.
        hints.sort(key=lambda hint: hint.stored_at, reverse=True)
        self._hints[key] = tuple(hints[: self._holders])
        self._hints.move_to_end(key)
        if len(self._hints) > self._capacity:
            self._hints.popitem(last=False)

    def evict(self, key: bytes, endpoint_id: str, incarnation: int, *, evicted_at: float) -> None:
        """Record that an endpoint evicted the context of a chat at ``evicted_at``."""
        self._record_event_time(evicted_at)
        self._update_incarnation(endpoint_id, incarnation)
        remaining = tuple(
            hint
            for hint in self._hints.get(key, ())
            if hint.endpoint_id != endpoint_id or hint.stored_at > evicted_at
        )
        self._replace(key, remaining)

    def restart(self, endpoint_id: str, incarnation: int) -> None:
        """Record that an endpoint runs as a new incarnation, with an empty cache."""
        self._update_incarnation(endpoint_id, incarnation)

    def find(self, key: bytes, now: float) -> tuple[str, ...]:
        """Return the endpoints that probably hold the chat's context, newest first."""
        hints = self._hints.get(key)
        if hints is None:
            return ()
        oldest = now - self._max_age_s
        remaining = tuple(
            hint for hint in hints if hint.stored_at >= oldest and self._is_current(hint)
        )
        self._replace(key, remaining)
        return tuple(hint.endpoint_id for hint in remaining)

    def is_warm(self, now: float) -> bool:
        """Return whether a chat without a hint probably has no context at any endpoint.

        This is false until the router has received events for ``HINTS_WARM_UP_S``, and
        after ``HINTS_SILENCE_S`` without events.
        """
        if self._first_at is None or now - self._last_at > HINTS_SILENCE_S:
            return False
        return now - self._first_at >= HINTS_WARM_UP_S

    def _record_event_time(self, event_at: float) -> None:
        if self._first_at is None:
            self._first_at = event_at
        self._last_at = max(self._last_at, event_at)

    def _replace(self, key: bytes, remaining: tuple[_Hint, ...]) -> None:
        if remaining:
            self._hints[key] = remaining
        else:
            self._hints.pop(key, None)

    def _update_incarnation(self, endpoint_id: str, incarnation: int) -> bool:
        newest = self._incarnations.get(endpoint_id, incarnation)
        self._incarnations[endpoint_id] = max(newest, incarnation)
        return incarnation >= newest

    def _is_current(self, hint: _Hint) -> bool:
        return hint.incarnation == self._incarnations.get(hint.endpoint_id, hint.incarnation)

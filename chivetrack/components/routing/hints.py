"""Cache hints: which endpoint probably holds a chat's context."""

from collections import OrderedDict
from dataclasses import dataclass

from chivetrack.components.routing.const import HINT_CAPACITY, HINT_MAX_AGE_S


@dataclass(frozen=True, slots=True)
class _Hint:
    endpoint_id: str
    incarnation: int
    stored_at: float


class CacheHints:
    """A bounded table of where chats were last stored.

    Hints only reorder the endpoints that fit; a wrong one costs a cache miss. So
    events may come late, out of order, twice or not at all.
    """

    def __init__(self, *, capacity: int = HINT_CAPACITY, max_age_s: float = HINT_MAX_AGE_S) -> None:
        """Keep at most ``capacity`` hints, none older than ``max_age_s``."""
        self._capacity = capacity
        self._max_age_s = max_age_s
        self._hints: OrderedDict[bytes, _Hint] = OrderedDict()
        self._incarnations: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._hints)

    def store(self, key: bytes, endpoint_id: str, incarnation: int, *, stored_at: float) -> None:
        """Note that an endpoint held a chat's context at a time."""
        if not self._accept(endpoint_id, incarnation):
            return
        old = self._hints.get(key)
        # A late event must not send a chat back to where it was before its last turn.
        if old is not None and old.stored_at > stored_at and self._is_current(old):
            return
        self._hints[key] = _Hint(endpoint_id, incarnation, stored_at)
        self._hints.move_to_end(key)
        if len(self._hints) > self._capacity:
            self._hints.popitem(last=False)

    def evict(self, key: bytes, endpoint_id: str, incarnation: int, *, evicted_at: float) -> None:
        """Note that an endpoint dropped a chat's context at a time."""
        self._accept(endpoint_id, incarnation)
        hint = self._hints.get(key)
        if hint is None or hint.endpoint_id != endpoint_id or hint.stored_at > evicted_at:
            return
        del self._hints[key]

    def restart(self, endpoint_id: str, incarnation: int) -> None:
        """Note that an endpoint runs under a new incarnation, with an empty cache."""
        self._accept(endpoint_id, incarnation)

    def find(self, key: bytes, now: float) -> str | None:
        """Return the endpoint that probably holds the chat's context."""
        hint = self._hints.get(key)
        if hint is None:
            return None
        if now - hint.stored_at > self._max_age_s or not self._is_current(hint):
            del self._hints[key]
            return None
        return hint.endpoint_id

    def _accept(self, endpoint_id: str, incarnation: int) -> bool:
        newest = self._incarnations.get(endpoint_id, incarnation)
        self._incarnations[endpoint_id] = max(newest, incarnation)
        return incarnation >= newest

    def _is_current(self, hint: _Hint) -> bool:
        return hint.incarnation == self._incarnations.get(hint.endpoint_id, hint.incarnation)

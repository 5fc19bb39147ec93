"""The one queue through which all loads from the weight store go."""

from collections import OrderedDict
from collections.abc import Callable, Mapping

from chivetrack.components.model_placement import const
from chivetrack.components.orders.models import Artifact, ArtifactPhase, EngineState

_Key = tuple[str, str]


class LoadQueue:
    """Admits a bounded number of loads at a time and at a bounded rate, in fair turns.

    A hundred engines that come back at once ask at once; without the queue the store
    would be asked for a hundred copies and refuse most of them, again and again. Turns
    go round by artifact, so that many copies of one don't hold up the first of another,
    and within one by arrival. Who no longer asks loses its place.

    ``read_states`` returns what engines last said; loads under way are read from there,
    so that the next holder goes on with the right number.
    """

    def __init__(self, *, read_states: Callable[[], Mapping[str, EngineState]]) -> None:
        """Start with nothing waiting."""
        self._read_states = read_states
        self._waiting: dict[_Key, OrderedDict[str, float]] = {}
        self._round_robin: OrderedDict[_Key, None] = OrderedDict()
        self._granted: dict[str, float] = {}
        self._tokens = 1.0
        self._filled_at = float("-inf")
        self._refused: frozenset[str] = frozenset()
        self._store_delay_s = const.STORE_DELAY_S
        self._paused_until = float("-inf")

    def admit(self, endpoint_id: str, artifact: Artifact, *, now: float) -> bool:
        """Tell whether this load may begin; if not, it waits for its turn."""
        if not self._enqueue(endpoint_id, artifact, now):
            return False
        if now != self._filled_at:
            self._refresh(now)
        if self._find_next() != endpoint_id or now < self._paused_until or self._tokens < 1.0:
            return False
        if self._count_loads() >= const.MAX_LOADS:
            return False
        self._dequeue(endpoint_id, artifact)
        self._tokens -= 1.0
        # Refused once more, it would look as it does now; so a second try of an engine
        # counts as a refusal, and tries get rarer until none is refused.
        self._refused -= {endpoint_id}
        self._granted[endpoint_id] = now + const.GRANT_EXPIRY_S
        return True

    def count_waiting(self) -> int:
        """Return how many loads wait."""
        return sum(len(line) for line in self._waiting.values())

    def _enqueue(self, endpoint_id: str, artifact: Artifact, now: float) -> bool:
        key = (artifact.kind.value, artifact.name)
        line = self._waiting.get(key)
        if line is None or endpoint_id not in line:
            if self.count_waiting() >= const.MAX_WAITING:
                return False
            line = self._waiting.setdefault(key, OrderedDict())
            self._round_robin.setdefault(key, None)
        line[endpoint_id] = now
        return True

    def _dequeue(self, endpoint_id: str, artifact: Artifact) -> None:
        key = (artifact.kind.value, artifact.name)
        del self._waiting[key][endpoint_id]
        self._round_robin.move_to_end(key)
        self._drop_empty()

    def _find_next(self) -> str:
        key = next(iter(self._round_robin))
        return next(iter(self._waiting[key]))

    def _refresh(self, now: float) -> None:
        for line in self._waiting.values():
            silent = [
                name
                for name, requested_at in line.items()
                if now > requested_at + const.WAIT_EXPIRY_S
            ]
            for name in silent:
                del line[name]
        self._drop_empty()
        self._granted = {name: until for name, until in self._granted.items() if now < until}
        elapsed_s = min(now - self._filled_at, 1.0 / const.LOADS_PER_S)
        self._tokens = min(1.0, self._tokens + elapsed_s * const.LOADS_PER_S)
        self._filled_at = now
        self._back_off(now)

    def _drop_empty(self) -> None:
        for key in [key for key, line in self._waiting.items() if not line]:
            del self._waiting[key]
            del self._round_robin[key]

    def _back_off(self, now: float) -> None:
        states = self._read_states()
        refused = frozenset(name for name, state in states.items() if _is_refused(state))
        if refused - self._refused:
            self._paused_until = now + self._store_delay_s
            self._store_delay_s = min(2 * self._store_delay_s, const.MAX_STORE_DELAY_S)
        elif not refused:
            self._store_delay_s = const.STORE_DELAY_S
        self._refused = refused

    def _count_loads(self) -> int:
        loading = {name for name, state in self._read_states().items() if _is_loading(state)}
        return len(loading | set(self._granted))


def _is_loading(state: EngineState) -> bool:
    return any(held.phase is ArtifactPhase.LOADING for held in state.artifacts)


def _is_refused(state: EngineState) -> bool:
    return any(
        held.phase is ArtifactPhase.FAILED and held.error == const.STORE_BUSY
        for held in state.artifacts
    )

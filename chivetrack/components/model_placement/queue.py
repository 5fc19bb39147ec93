"""Queue of all loads from the weight store."""

from collections import OrderedDict
from collections.abc import Callable, Mapping

from chivetrack.components.model_placement import const
from chivetrack.components.orders.models import Artifact, ArtifactPhase, EngineState

_ArtifactKey = tuple[str, str]


class LoadQueue:
    """Admits loads with bounded concurrency and at a bounded rate.

    When a hundred engines return at the same time, they all request their loads at once.
    Without the queue the store would get a hundred requests and refuse most of them
    repeatedly. Artifacts take turns in round-robin order, so that many copies of one artifact
    don't delay the first copy of another; the copies of one artifact are admitted in order of
    arrival. A load that is no longer requested leaves the queue.

    ``read_states`` returns the last states of the engines by endpoint id. Loads in progress
    are counted from these states, so that the next lease holder continues with the right
    number.
    """

    def __init__(self, *, read_states: Callable[[], Mapping[str, EngineState]]) -> None:
        """Initialize an empty queue."""
        self._read_states = read_states
        self._waiting: dict[_ArtifactKey, OrderedDict[str, float]] = {}
        self._round_robin: OrderedDict[_ArtifactKey, None] = OrderedDict()
        self._granted: dict[str, float] = {}
        self._tokens = 1.0
        self._filled_at = float("-inf")
        self._refused: frozenset[str] = frozenset()
        self._store_delay_s = const.STORE_DELAY_S
        self._paused_until = float("-inf")

    def admit(self, endpoint_id: str, artifact: Artifact, *, now: float) -> bool:
        """Return whether a load may begin now; otherwise it waits in the queue."""
        if not self._enqueue(endpoint_id, artifact, now):
            return False
        if now != self._filled_at:
            self._expire_and_refill(now)
        if self._find_next() != endpoint_id or now < self._paused_until or self._tokens < 1.0:
            return False
        if self._count_loads() >= const.MAX_LOADS:
            return False
        self._dequeue(endpoint_id, artifact)
        self._tokens -= 1.0
        # The state of a refused engine does not change when its next load is refused too. Without
        # this line a repeated refusal would go unnoticed; with it, each repeated refusal extends
        # the pause, so that attempts become rarer until none is refused.
        self._refused -= {endpoint_id}
        self._granted[endpoint_id] = now + const.GRANT_EXPIRY_S
        return True

    def count_waiting(self) -> int:
        """Return the number of waiting loads."""
        return sum(len(waiting) for waiting in self._waiting.values())

    def _enqueue(self, endpoint_id: str, artifact: Artifact, now: float) -> bool:
        key = (artifact.kind.value, artifact.name)
        waiting = self._waiting.get(key)
        if waiting is None or endpoint_id not in waiting:
            if self.count_waiting() >= const.MAX_WAITING:
                return False
            waiting = self._waiting.setdefault(key, OrderedDict())
            self._round_robin.setdefault(key, None)
        waiting[endpoint_id] = now
        return True

    def _dequeue(self, endpoint_id: str, artifact: Artifact) -> None:
        key = (artifact.kind.value, artifact.name)
        del self._waiting[key][endpoint_id]
        self._round_robin.move_to_end(key)
        self._drop_empty()

    def _find_next(self) -> str:
        key = next(iter(self._round_robin))
        return next(iter(self._waiting[key]))

    def _expire_and_refill(self, now: float) -> None:
        for waiting in self._waiting.values():
            stale = [
                name
                for name, requested_at in waiting.items()
                if now > requested_at + const.WAIT_EXPIRY_S
            ]
            for name in stale:
                del waiting[name]
        self._drop_empty()
        self._granted = {
            name: expires_at for name, expires_at in self._granted.items() if now < expires_at
        }
        elapsed_s = min(now - self._filled_at, 1.0 / const.LOADS_PER_S)
        self._tokens = min(1.0, self._tokens + elapsed_s * const.LOADS_PER_S)
        self._filled_at = now
        self._back_off(now)

    def _drop_empty(self) -> None:
        for key in [key for key, waiting in self._waiting.items() if not waiting]:
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

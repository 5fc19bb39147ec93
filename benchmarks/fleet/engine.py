"""Model of an engine: batched steps, chunked prefill, an LRU prefix cache and transfers."""

from collections import OrderedDict, deque
from dataclasses import dataclass

from benchmarks.fleet.deployment import EngineKind
from chivetrack.components.traffic.requests import PromptPart


@dataclass(slots=True, kw_only=True)
class Job:
    """One request at an engine; times are in ms since the start of the run."""

    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    answer_tokens: int
    priority: int
    number: int
    prefill_tokens: float = 0.0
    produced: int = 0
    first_at: float | None = None
    ended_at: float | None = None
    cut: bool = False
    abandoned: bool = False


@dataclass(slots=True, kw_only=True)
class Totals:
    """Numbers of prompt tokens over all engines.

    ``read`` were prefilled, ``read_again`` were prefilled although another engine had them
    cached, and ``moved`` were transferred between engines.
    """

    read: float = 0.0
    read_again: float = 0.0
    moved: float = 0.0


class Engine:
    """Simulates one engine in steps; ``speed`` and ``slowness`` multiply every step time."""

    def __init__(self, *, kind: EngineKind, speed: float, totals: Totals) -> None:
        """Initialize an idle engine with an empty cache."""
        self.kind = kind
        self.speed = speed
        self.slowness = 1.0
        self.is_up = True
        self.free_at = 0.0
        self._totals = totals
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._waiting: deque[Job] = deque()
        self._prefilling: deque[Job] = deque()
        self._running: list[Job] = []

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are waiting, prefilling or running."""
        return len(self._waiting) + len(self._prefilling) + len(self._running)

    def count_cached(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the number of tokens in the cached prefix of a prompt."""
        tokens = 0
        for part in parts:
            if part.part_id not in self._cache:
                break
            tokens += part.tokens
        return tokens

    def admit(self, job: Job, *, known_elsewhere: int, fetch_from: "Engine | None") -> float:
        """Admit a request; return the delay in ms that a transfer causes.

        ``known_elsewhere`` is the number of its shared tokens that some engine has cached.
        """
        cached = self.count_cached(job.parts)
        delay_ms = 0.0
        moved = 0
        if fetch_from is not None and fetch_from.is_up:
            moved = max(0, fetch_from.count_cached(job.parts) - cached)
            if moved:
                delay_ms = self.kind.fetch_setup_ms + moved / self.kind.fetch_tokens_per_ms
        self._totals.moved += moved
        job.prefill_tokens = max(1.0, job.prompt_tokens - cached - moved)
        shared = sum(part.tokens for part in job.parts[:-1])
        again = min(known_elsewhere, shared) - cached - moved
        self._totals.read_again += max(0, again)
        self._totals.read += job.prefill_tokens
        for part in job.parts:
            self._cache_part(part)
        return delay_ms

    def _cache_part(self, part: PromptPart) -> None:
        if part.part_id in self._cache:
            self._cache.move_to_end(part.part_id)
            return
        self._cache[part.part_id] = part.tokens
        self._cached_tokens += part.tokens
        while self._cached_tokens > self.kind.memory_tokens and len(self._cache) > 1:
            _, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens

    def enqueue(self, job: Job) -> None:
        """Queue a request for a place in the batch, in order of priority."""
        index = len(self._waiting)
        while index and self._waiting[index - 1].priority > job.priority:
            index -= 1
        self._waiting.insert(index, job)

    def step(self, now: float) -> float:
        """Simulate one step and return its duration in ms."""
        while self._waiting and len(self._prefilling) + len(self._running) < self.kind.batch:
            self._prefilling.append(self._waiting.popleft())
        self._remove_abandoned()
        chunk = float(self.kind.chunk_tokens)
        read = 0.0
        ready: list[Job] = []
        while self._prefilling and chunk > 0:
            job = self._prefilling[0]
            part = min(chunk, job.prefill_tokens)
            job.prefill_tokens -= part
            chunk -= part
            read += part
            if job.prefill_tokens > 0:
                break
            ready.append(self._prefilling.popleft())
        count = len(self._running)
        length = self.kind.step_ms + count * self.kind.step_ms_per_request
        length += read / self.kind.prefill_tokens_per_ms
        length *= self.speed * self.slowness
        end = now + length
        for job in self._running:
            job.produced += 1
            if job.produced >= job.answer_tokens:
                job.ended_at = end
        for job in ready:
            job.first_at = end
            job.produced = 1
        self._running = [job for job in self._running if job.ended_at is None] + ready
        return length

    def _remove_abandoned(self) -> None:
        for queue in (self._waiting, self._prefilling):
            abandoned = [job for job in queue if job.abandoned]
            for job in abandoned:
                queue.remove(job)
        self._running = [job for job in self._running if not job.abandoned]

    def crash(self) -> list[Job]:
        """Stop the engine, drop its requests and its cache, and return the requests."""
        lost = [*self._waiting, *self._prefilling, *self._running]
        self._waiting.clear()
        self._prefilling.clear()
        self._running = []
        self._cache.clear()
        self._cached_tokens = 0
        self.is_up = False
        return lost

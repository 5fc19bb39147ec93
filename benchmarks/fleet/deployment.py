"""Fixed and random deployments to simulate: engines, routers and kinds of requests."""

from dataclasses import dataclass
from random import Random

MEGA = 1e6


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineKind:
    """Speed and limits of an engine; times are in milliseconds.

    A step takes ``step_ms`` plus ``step_ms_per_request`` for each running request and
    produces one token for each of them. In the same step up to ``chunk_tokens`` tokens of
    waiting prompts are prefilled.
    """

    batch: int = 64
    step_ms: float = 3.1
    step_ms_per_request: float = 0.1
    prefill_tokens_per_ms: float = 57.0
    chunk_tokens: int = 2048
    memory_tokens: int = 400_000
    fetch_setup_ms: float = 5.3
    fetch_tokens_per_ms: float = 880.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """The requests of one route; ``share`` is its share of all requests.

    A prompt consists of a part that is common to many subjects, a part of its subject, and a
    part of its own. An answer counts as ``worth`` if its first token arrives within
    ``target_ms``, and as ``late_worth`` if it arrives later.
    """

    name: str
    share: float
    common_tokens: int
    common_parts: int
    subject_tokens: int
    subjects: int
    own_tokens: int
    answer_tokens: int
    target_ms: float
    timeout_ms: float
    worth: float
    late_worth: float
    priority: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineFault:
    """A period in which an engine is slower by ``factor``, or down if ``factor`` is 0."""

    at_s: float
    duration_s: float
    engine: int
    factor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """One deployment, its load and its faults in a run of ``seconds`` seconds."""

    name: str
    routers: int
    zones: int
    engine: EngineKind
    speeds: tuple[float, ...]
    kinds: tuple[RequestKind, ...]
    requests_per_s: float
    burst: float = 1.0
    engine_faults: tuple[EngineFault, ...] = ()
    joins_at_s: tuple[float, ...] = ()
    seconds: float = 40.0


def make_boards(*, seed: int, requests_per_s: float = 72.0, burst: float = 1.0) -> Deployment:
    """Return a deployment of nine routers and nine engines with short answers."""
    random = Random(seed)
    kinds = (
        RequestKind(
            name="summary", share=0.384, common_tokens=2520, common_parts=4, subject_tokens=6100,
            subjects=83, own_tokens=580, answer_tokens=52, target_ms=500, timeout_ms=4000,
            worth=4.1, late_worth=1.2, priority=0,
        ),
        RequestKind(
            name="digest", share=0.413, common_tokens=341, common_parts=40, subject_tokens=1700,
            subjects=90, own_tokens=360, answer_tokens=23, target_ms=1000, timeout_ms=3000,
            worth=1.1, late_worth=0.33, priority=1,
        ),
        RequestKind(
            name="chatter", share=0.203, common_tokens=103, common_parts=40, subject_tokens=500,
            subjects=44, own_tokens=110, answer_tokens=280, target_ms=1200, timeout_ms=12000,
            worth=0.7, late_worth=0.21, priority=2,
        ),
    )  # fmt: skip
    return Deployment(
        name="boards",
        routers=9,
        zones=4,
        engine=EngineKind(),
        speeds=tuple(random.choice((1.0, 1.0, 1.3)) for _ in range(9)),
        kinds=kinds,
        requests_per_s=requests_per_s,
        burst=burst,
        engine_faults=(EngineFault(at_s=12.0, duration_s=2.0, engine=1, factor=0.0),),
        joins_at_s=(18.0, 20.0, 22.0),
    )


def make_many(*, seed: int, requests_per_s: float = 310.0, burst: float = 1.0) -> Deployment:
    """Return a deployment of hundreds of routers with about two requests per second each."""
    random = Random(seed)
    kinds = (
        RequestKind(
            name="report", share=0.26, common_tokens=512, common_parts=1, subject_tokens=10_000,
            subjects=314, own_tokens=1300, answer_tokens=380, target_ms=800, timeout_ms=12_000,
            worth=3.9, late_worth=1.2, priority=1,
        ),
        RequestKind(
            name="question", share=0.30, common_tokens=119, common_parts=39, subject_tokens=580,
            subjects=357, own_tokens=130, answer_tokens=290, target_ms=300, timeout_ms=10_000,
            worth=2.3, late_worth=0.68, priority=0,
        ),
        RequestKind(
            name="tag", share=0.44, common_tokens=341, common_parts=15, subject_tokens=1700,
            subjects=352, own_tokens=360, answer_tokens=22, target_ms=400, timeout_ms=2500,
            worth=0.37, late_worth=0.11, priority=2,
        ),
    )  # fmt: skip
    engine = EngineKind(batch=16, chunk_tokens=1024, memory_tokens=317_000)
    return Deployment(
        name="many",
        routers=195,
        zones=5,
        engine=engine,
        speeds=tuple(random.choice((1.0, 1.0, 1.3)) for _ in range(59)),
        kinds=kinds,
        requests_per_s=requests_per_s,
        burst=burst,
        engine_faults=tuple(
            EngineFault(at_s=6.0, duration_s=2.0, engine=number, factor=0.0)
            for number in range(0, 45, 4)
        ),
        joins_at_s=(14.0, 15.0, 16.0, 17.0),
        seconds=24.0,
    )


def draw_deployment(seed: int) -> Deployment:
    """Return a deployment with random sizes, speeds, routes and faults."""
    random = Random(seed)
    engines = random.choice((4, 6, 9, 14, 24))
    scale = random.choice((0.33, 0.6, 1.0, 1.7, 3.0))
    engine = EngineKind(
        batch=random.choice((16, 32, 64)),
        step_ms=random.uniform(2.5, 9.0) * scale,
        step_ms_per_request=random.uniform(0.05, 0.25) * scale,
        prefill_tokens_per_ms=random.uniform(40.0, 70.0) / scale,
        memory_tokens=random.choice((150_000, 300_000, 500_000)),
        fetch_tokens_per_ms=random.uniform(200.0, 900.0),
    )
    kinds = tuple(_draw_kind(random, number, engine) for number in range(random.randint(2, 4)))
    total = sum(kind.share for kind in kinds)
    work_ms = sum(kind.share / total * _estimate_work_ms(kind, engine) for kind in kinds)
    load = random.uniform(0.15, 0.6)
    return Deployment(
        name=f"drawn-{seed}",
        routers=random.choice((4, 9, 18, 40)),
        zones=random.choice((2, 3, 4)),
        engine=engine,
        speeds=tuple(random.choice((1.0, 1.0, 1.3, 2.0)) for _ in range(engines)),
        kinds=kinds,
        requests_per_s=load * engines / work_ms * 1000,
        burst=random.choice((1.0, 1.0, 2.0, 3.5)),
        engine_faults=(
            EngineFault(at_s=8.0, duration_s=6.0, engine=0, factor=random.choice((0.0, 4.0, 8.0))),
            EngineFault(at_s=20.0, duration_s=3.0, engine=1, factor=0.0),
        ),
        joins_at_s=(15.0,),
        seconds=30.0,
    )


def _draw_kind(random: Random, number: int, engine: EngineKind) -> RequestKind:
    subject = round(random.choice((300, 1500, 6000, 10_000)) * random.uniform(0.7, 1.3))
    own = round(random.uniform(80, 1200))
    read_ms = (subject + own) / engine.prefill_tokens_per_ms
    answer = round(random.choice((20, 60, 250)) * random.uniform(0.7, 1.3))
    target_ms = random.choice((400.0, 1000.0)) + 2 * read_ms
    answer_ms = answer * (engine.step_ms + 8 * engine.step_ms_per_request)
    return RequestKind(
        name=f"kind-{number}",
        share=random.uniform(0.3, 1.0),
        common_tokens=random.choice((100, 500, 2000)),
        common_parts=random.choice((4, 40)),
        subject_tokens=subject,
        subjects=random.choice((30, 80, 200)),
        own_tokens=own,
        answer_tokens=answer,
        target_ms=target_ms,
        timeout_ms=target_ms * 4 + answer_ms * 3,
        worth=random.choice((0.5, 1.0, 4.0)),
        late_worth=0.3,
        priority=number,
    )


def _estimate_work_ms(kind: RequestKind, engine: EngineKind) -> float:
    """Return the estimated time in ms that a request uses an engine with a warm cache."""
    read_ms = (kind.own_tokens + 0.1 * kind.subject_tokens) / engine.prefill_tokens_per_ms
    return read_ms + kind.answer_tokens * (engine.step_ms / 8 + engine.step_ms_per_request)

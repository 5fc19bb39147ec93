"""Models of the placement experiment."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Request:
    """One request; all policies get the same requests."""

    number: int
    at: float
    router: int
    key: str
    prompt_tokens: int
    answer_tokens: int
    service_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """Numbers of routers and engines, and the cache size of an engine in tokens."""

    name: str
    routers: int
    engines: int
    cache_tokens: int


@dataclass(slots=True, kw_only=True)
class Result:
    """Measurements of one run.

    ``skews`` are samples at equal intervals of the highest number of requests in flight at an
    engine, relative to the mean.
    """

    policy: str
    prompt_tokens: int = 0
    reused_tokens: int = 0
    placed: int = 0
    refused: int = 0
    resent: int = 0
    lost: int = 0
    messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    seconds: float = 0.0
    routers: int = 1
    mean_in_flight: float = 0.0
    over_bound: float = 0.0
    skews: list[float] = field(default_factory=list)

    @property
    def reuse(self) -> float:
        """Return the share of prompt tokens that were cached."""
        return self.reused_tokens / max(self.prompt_tokens, 1)

    def get_skew(self, share: float) -> float:
        """Return a quantile of the skew."""
        ordered = sorted(self.skews)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0

"""Facts about requests and answers, independent of their format on the wire."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests with the same part can reuse an engine's cache of it."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFacts:
    """The facts about a request that decisions use.

    ``wait_s`` is how long the caller waits, ``None`` if not stated. ``parts`` are in the
    order of the prompt; the last part is specific to this request or its session.
    ``expected_tokens`` is the caller's estimate of the answer's length, 0 if unknown.
    ``last_event_id`` is the last event that the caller has of a stream that it takes up again,
    ``resumes`` the id of the request that brought the first one; both are empty if not stated.
    """

    request_id: str
    key: str = ""
    wait_s: float | None = None
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_tokens: int = 0
    last_event_id: str = ""
    resumes: str = ""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may also contain."""
        return self.parts[:-1]

    @property
    def likely_output_tokens(self) -> int:
        """Return the likely length of the answer in tokens, 0 if the caller gave none."""
        given = [tokens for tokens in (self.expected_tokens, self.max_output_tokens) if tokens > 0]
        return min(given, default=0)


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoadFacts:
    """The load that an endpoint reports with an answer, in requests.

    ``work_factor`` is how long work takes there now, 1.0 as usual; ``None`` if not stated.
    """

    running: int
    waiting: int
    slots: int
    work_factor: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerFacts:
    """What the head of an endpoint's answer states about the request and the endpoint.

    ``is_sealed``: the answer carries the endpoint's mark of origin. ``did_not_run``: the
    endpoint did not run the request and never will. ``cold_s``: how long the endpoint stays
    cold in seconds, 0 if not stated. ``is_leaving``: the endpoint must get no new requests.
    ``pause_s``: how long it must get no requests from this router, 0 without a pause.
    ``unreadable_load`` is a statement of load whose form is not known, empty without one.
    """

    request_id: str | None
    is_sealed: bool
    did_not_run: bool
    is_other_instance: bool
    is_encoded: bool
    closes: bool
    keep_alive_s: float | None
    load: EndpointLoadFacts | None = None
    retry_after_s: float | None = None
    cold_s: float = 0.0
    is_leaving: bool = False
    pause_s: float = 0.0
    unreadable_load: str = ""

"""What a router has to know of a caller's request, whatever form it came in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A piece of a prompt; requests that share it may reuse what an engine has cached."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFacts:
    """The facts that decisions use.

    ``wait_s`` is how long the caller waits, ``None`` if it did not say. ``parts`` are in
    the order of the prompt; the last one belongs to this request or its session alone.
    ``expected_tokens`` is the caller's estimate of the answer's length, 0 if unknown.
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

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may have too."""
        return self.parts[:-1]

    @property
    def likely_output_tokens(self) -> int:
        """Return the likely length of the answer, 0 if the caller said nothing of it."""
        given = [one for one in (self.expected_tokens, self.max_output_tokens) if one > 0]
        return min(given, default=0)


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointLoadFacts:
    """What an endpoint says of its load with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerFacts:
    """What the head of an endpoint's answer says about the request.

    ``is_sealed``: the answer carries the endpoint's mark of origin. ``did_not_run``: the
    endpoint states that it did not run the request and never will. ``cold_s``: for how long
    the endpoint stays cold, 0 if it does not say. ``is_leaving``: it must get no new requests.
    ``pause_s``: for how long it must get no requests from this router, 0 without a pause.
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

"""Headers of the platform: their names, their decoders and which side may set them."""

from collections.abc import Iterable, Iterator, Mapping

from chivetrack.components.traffic.requests import (
    AnswerFacts,
    EndpointLoadFacts,
    PromptPart,
    RequestFacts,
)
from chivetrack.components.upstream.answer_head import AnswerHeaders
from chivetrack.helpers.numbers import read_count, read_decimal

HEADER_ATTEMPT = "X-Chivetrack-Attempt-Id"
HEADER_DEADLINE = "X-Chivetrack-Deadline-Ms"
HEADER_KEY = "X-Chivetrack-Key"
HEADER_WORKSPACE = "X-Chivetrack-Tenant"
HEADER_EXPECTED_ENDPOINT = "X-Chivetrack-Expect-Instance"
HEADER_PRIORITY = "X-Chivetrack-Request-Priority"
HEADER_MODEL = "X-Chivetrack-Model"
HEADER_TOKEN_COUNTS = "X-Chivetrack-Token-Counts"
HEADER_PROMPT_PARTS = "X-Chivetrack-Prompt-Prefix"
HEADER_LENGTH_HINT = "X-Chivetrack-Length-Hint"
HEADER_FETCH_FROM = "Kv-Fetch"
HEADER_LAST_EVENT = "Last-Event-Id"
HEADER_RESUMES = "Resumes"
HEADER_SEAL = "X-Chivetrack-Server-Seal"
HEADER_DID_NOT_RUN = "X-Chivetrack-Not-Executed"
HEADER_LOAD = "X-Chivetrack-Server-Load"
HEADER_COLD_MS = "X-Chivetrack-Cold-Ms"
HEADER_LEAVING = "Server-Leaving"

STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
# The only statuses with which a server states that it did not run the request.
_REFUSAL_STATUSES = frozenset({400, STATUS_MISDIRECTED, 429, STATUS_UNAVAILABLE})

# Hop-by-hop headers, headers that the router sets itself, and headers that ask for a hold, a
# pin or a continuation. Callers may not ask for a hold, a pin or a continuation: an endpoint
# would refuse the request because of it.
_NOT_FORWARDED_HEADERS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
        "Content-Length",
        HEADER_DEADLINE,
        HEADER_KEY,
        HEADER_WORKSPACE,
        HEADER_EXPECTED_ENDPOINT,
        HEADER_PRIORITY,
        HEADER_LAST_EVENT,
        "X-Chivetrack-Expect-Version",
        "X-Chivetrack-Pin-Ms",
        "X-Chivetrack-Hold",
        "X-Chivetrack-Kv-Backup",
        "X-Chivetrack-Kv-From",
        "X-Chivetrack-Kv-Fetch",
        "Kv-From",
        HEADER_FETCH_FROM,
        "Kv-Backup",
        "Wait-Ms",
    )
)
_NOT_RETURNED_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer", "te")
)

# ``str.strip`` removes other characters as well, such as a no-break space.
_BLANKS = " \t"

HeaderLines = Iterable[tuple[str, str]]


def read_request_facts(headers: Mapping[str, str]) -> RequestFacts:
    """Decode a caller's headers (names in lower case); malformed values count as absent."""
    prompt_tokens, max_output = _read_counts(headers.get(HEADER_TOKEN_COUNTS.lower(), ""))
    wait_ms = read_decimal(headers.get(HEADER_DEADLINE.lower(), ""))
    return RequestFacts(
        request_id=headers.get(HEADER_ATTEMPT.lower(), ""),
        key=headers.get(HEADER_KEY.lower(), ""),
        wait_s=None if wait_ms is None else wait_ms / 1000.0,
        model=headers.get(HEADER_MODEL.lower(), ""),
        parts=tuple(_read_parts(headers.get(HEADER_PROMPT_PARTS.lower(), ""))),
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output,
        expected_tokens=int(read_decimal(headers.get(HEADER_LENGTH_HINT.lower(), "")) or 0),
        last_event_id=headers.get(HEADER_LAST_EVENT.lower(), ""),
        resumes=headers.get(HEADER_RESUMES.lower(), ""),
    )


def make_endpoint_headers(
    lines: HeaderLines,
    *,
    endpoint_id: str,
    workspace: str,
    remaining_s: float,
    last_event_id: str,
    priority: int | None,
    fetch_from: str = "",
) -> list[tuple[str, str]]:
    """Return the headers of a request to an endpoint: forwarded ones and the router's own.

    ``remaining_s`` is the time left for the request, which the caller's deadline and the
    route's timeout bound, in seconds. ``fetch_from`` is the address of an engine that has
    parts of the prompt cached.
    """
    forwarded = [
        (name, value) for name, value in lines if name.lower() not in _NOT_FORWARDED_HEADERS
    ]
    forwarded.append((HEADER_DEADLINE, str(max(1, int(remaining_s * 1000)))))
    forwarded.append((HEADER_EXPECTED_ENDPOINT, endpoint_id))
    if workspace:
        forwarded.append((HEADER_WORKSPACE, workspace))
    if last_event_id:
        forwarded.append((HEADER_LAST_EVENT, last_event_id))
    if fetch_from:
        forwarded.append((HEADER_FETCH_FROM, fetch_from))
    if priority is not None:
        forwarded.append((HEADER_PRIORITY, str(priority)))
    return forwarded


def read_answer_facts(status: int, headers: AnswerHeaders) -> AnswerFacts:
    """Decode the status and the headers of an endpoint's answer.

    Raise ``AnswerHeadError`` if it names several requests or bears several seals.
    """
    retry_after = read_decimal(_join(headers, "Retry-After"))
    stated_load = _join(headers, HEADER_LOAD)
    load = _read_load(stated_load)
    return AnswerFacts(
        request_id=headers.get_single(HEADER_ATTEMPT),
        is_sealed=bool(headers.get_single(HEADER_SEAL)),
        did_not_run=_is_refusal(status, headers),
        is_other_instance=status == STATUS_MISDIRECTED,
        is_encoded="Content-Encoding" in headers,
        closes="close" in _list_fields(_join(headers, "Connection").lower()),
        keep_alive_s=_read_keep_alive(_join(headers, "Keep-Alive")),
        load=load,
        unreadable_load=stated_load if load is None else "",
        retry_after_s=retry_after,
        pause_s=(retry_after or 0.0) if status == STATUS_UNAVAILABLE else 0.0,
        is_leaving=headers.get(HEADER_LEAVING).strip() == "1",
        cold_s=(read_decimal(_join(headers, HEADER_COLD_MS)) or 0.0) / 1000.0,
    )


def list_answer_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return those of an endpoint's headers that are forwarded to the caller."""
    return [(name, value) for name, value in headers if name.lower() not in _NOT_RETURNED_HEADERS]


def _is_refusal(status: int, headers: AnswerHeaders) -> bool:
    is_stated = HEADER_DID_NOT_RUN in headers and status in _REFUSAL_STATUSES
    return is_stated or status == STATUS_MISDIRECTED


def _join(headers: AnswerHeaders, name: str) -> str:
    """Return all values of a header as one list; a number that is stated twice is then none."""
    return ",".join(headers.get_all(name))


def _list_fields(text: str) -> list[str]:
    """Return the fields of a list without the blanks around them."""
    return [field.strip(_BLANKS) for field in text.split(",")]


def _read_counts(text: str) -> tuple[int, int]:
    counts = [read_count(field) for field in _list_fields(text)]
    if len(counts) != 2 or counts[0] is None or counts[1] is None:
        return (0, 0)
    return (counts[0], counts[1])


def _read_parts(text: str) -> Iterator[PromptPart]:
    for field in _list_fields(text):
        part_id, _, text_of_tokens = field.partition(":")
        tokens = read_count(text_of_tokens)
        if part_id and tokens is not None:
            yield PromptPart(part_id, tokens)


def _read_load(text: str) -> EndpointLoadFacts | None:
    """Decode running, waiting, slots and, where stated, the time of work in percent."""
    counts = [read_count(field) for field in _list_fields(text)]
    if len(counts) not in (3, 4):
        return None
    running, waiting, slots, *percents = counts
    if running is None or waiting is None or slots is None:
        return None
    if not percents:
        return EndpointLoadFacts(running=running, waiting=waiting, slots=slots)
    if not percents[0]:
        return None
    return EndpointLoadFacts(
        running=running, waiting=waiting, slots=slots, work_factor=percents[0] / 100
    )


def _read_keep_alive(text: str) -> float | None:
    for field in _list_fields(text):
        name, _, value = field.partition("=")
        if name.lower() == "timeout":
            return read_decimal(value)
    return None

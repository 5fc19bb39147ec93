"""Reads the service, model, affinity and idempotence of a request."""

import msgspec
import xxhash

from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.chain import FILTERS, PROCEED, PassingFilter, Refused, Step
from chivetrack.components.pipeline.const import (
    AFFINITY_MESSAGES,
    HEADER_CHAT,
    HEADER_DOSSIER,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_IDEMPOTENT,
    MAX_IDEMPOTENCY_KEY,
    SAFE_METHODS,
)
from chivetrack.components.pipeline.models import Directory, Exchange, RequestKind


class ChatBody(msgspec.Struct):
    """The fields of a chat completion request that routing reads; others are ignored."""

    model: str
    messages: list[msgspec.Raw]
    stream: bool = False
    prompt_cache_key: str | None = None


_CHAT_DECODER = msgspec.json.Decoder(ChatBody)
_IDEMPOTENT_VALUES = {"true": True, "false": False}


@FILTERS.register("classify")
class ClassifyFilter(PassingFilter):
    """Fills in the service, model, affinity and whether the request may run twice."""

    def __init__(self, *, directory: Directory) -> None:
        """Initialize with the configuration in force."""
        self._directory = directory

    def enter(self, exchange: Exchange, *, now: float) -> Step:
        """Classify a request; refuse a malformed or forbidden one."""
        if exchange.request.kind is RequestKind.CHAT:
            refused = self._read_chat(exchange)
        else:
            refused = self._read_service(exchange)
        refused = refused or self._read_idempotence(exchange)
        if refused is not None:
            return refused
        assert exchange.workspace is not None
        if not exchange.workspace.allows(exchange.service):
            return Refused(faults.service_not_allowed(exchange.service))
        return PROCEED

    def _read_chat(self, exchange: Exchange) -> Refused | None:
        try:
            body = _CHAT_DECODER.decode(exchange.request.body)
        except msgspec.MsgspecError as error:
            return Refused(faults.malformed_body(str(error)))
        if not body.messages:
            return Refused(faults.malformed_body("'messages' is empty"))
        service = self._directory.find_service(body.model)
        if service is None:
            return Refused(faults.unknown_model(body.model))
        exchange.service = service
        exchange.model = body.model
        exchange.stream = body.stream
        exchange.affinity = self._choose_affinity(exchange, body)
        return None

    @staticmethod
    def _choose_affinity(exchange: Exchange, body: ChatBody) -> str:
        headers = exchange.request.headers
        given = headers.get(HEADER_DOSSIER) or headers.get(HEADER_CHAT) or body.prompt_cache_key
        if given:
            return given
        # A chat without an id is identified by its first messages: every turn of the chat
        # repeats them, and chats with equal first messages share the engine's prefix cache.
        digest = xxhash.xxh3_128()
        for raw in body.messages[:AFFINITY_MESSAGES]:
            digest.update(bytes(raw))
        return digest.hexdigest()

    @staticmethod
    def _read_service(exchange: Exchange) -> Refused | None:
        exchange.service = exchange.request.service
        headers = exchange.request.headers
        exchange.affinity = headers.get(HEADER_CHAT) or exchange.request_id
        exchange.idempotent = exchange.request.method in SAFE_METHODS
        return None

    @staticmethod
    def _read_idempotence(exchange: Exchange) -> Refused | None:
        headers = exchange.request.headers
        assert exchange.policy is not None
        if exchange.policy.idempotent is not None:
            exchange.idempotent = exchange.policy.idempotent
        given = headers.get(HEADER_IDEMPOTENT)
        if given is not None:
            if given.lower() not in _IDEMPOTENT_VALUES:
                return Refused(faults.malformed_header(HEADER_IDEMPOTENT, "not true or false"))
            exchange.idempotent = _IDEMPOTENT_VALUES[given.lower()]
        key = headers.get(HEADER_IDEMPOTENCY_KEY, "")
        if len(key) > MAX_IDEMPOTENCY_KEY:
            detail = f"longer than {MAX_IDEMPOTENCY_KEY} characters"
            return Refused(faults.malformed_header(HEADER_IDEMPOTENCY_KEY, detail))
        exchange.idempotency_key = key
        if key:
            exchange.idempotent = False
        return None

"""Codec for messages between instances and records on disk: msgpack arrays."""

from collections.abc import Callable
from enum import IntEnum
from typing import TypeVar

import msgspec

from chivetrack.helpers.registry import Registry


class Priority(IntEnum):
    """Order in which the messages to other instances are sent; those of one kind stay in order.

    ``URGENT`` messages are small; elections, confirmed reads and acknowledgements wait for them.
    ``LOG`` messages bring what the log replicates. ``STATE`` is what replicas tell each other about
    endpoints and loads, and ``BULK`` is all that grows with the number of routers.
    """

    URGENT = 0
    LOG = 1
    STATE = 2
    BULK = 3


class Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base class of every message and record.

    Messages are encoded as arrays, so a new field is added at the end with a default: older
    readers ignore the field, and newer readers use the default when it is missing.
    Subclasses must repeat ``frozen=True, array_like=True``.
    """


MessageT = TypeVar("MessageT", bound=type[Message])
ValueT = TypeVar("ValueT", bound=Message)

MESSAGES: Registry[type[Message]] = Registry(name="message")
_KINDS: dict[type[Message], str] = {}
_PRIORITIES: dict[type[Message], Priority] = {}
_DECODERS: dict[str, msgspec.msgpack.Decoder] = {}
_ENCODER = msgspec.msgpack.Encoder()
# Bytes that are nested too deeply raise a RecursionError in msgspec.
_MALFORMED = (msgspec.MsgspecError, RecursionError)


class EncodeError(Exception):
    """A message holds a value that the encoding has no form for, such as a wider number."""


class DecodeError(Exception):
    """The bytes are not a valid message of the given kind."""


def message(kind: str, *, priority: Priority = Priority.BULK) -> Callable[[MessageT], MessageT]:
    """Return a decorator that registers a message class under its kind, its wire name."""

    def register(cls: MessageT) -> MessageT:
        MESSAGES.register(kind)(cls)
        _KINDS[cls] = kind
        _PRIORITIES[cls] = priority
        _DECODERS[kind] = msgspec.msgpack.Decoder(cls)
        return cls

    return register


def get_kind(value: Message) -> str:
    """Return the wire name of a message."""
    return _KINDS[type(value)]


def get_priority(value: Message) -> Priority:
    """Return the priority with which a message is sent."""
    return _PRIORITIES[type(value)]


def encode(value: Message) -> bytes:
    """Encode a registered message without its kind; raise ``EncodeError`` if that can't be."""
    try:
        return _ENCODER.encode(value)
    except (OverflowError, TypeError, ValueError) as error:
        raise EncodeError(f"{get_kind(value)}: {error}") from error


def decode(kind: str, payload: bytes) -> Message:
    """Decode a message; raise ``DecodeError`` for an unknown kind or malformed bytes."""
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise DecodeError(f"no message is named {kind!r}")
    try:
        return decoder.decode(payload)
    except _MALFORMED as error:
        raise DecodeError(f"{kind}: {error}") from error


def decode_as(cls: type[ValueT], payload: bytes) -> ValueT:
    """Decode a message whose class is known; raise ``DecodeError`` for malformed bytes."""
    value = decode(_KINDS[cls], payload)
    assert isinstance(value, cls)
    return value


def pack(value: Message) -> bytes:
    """Encode a message together with its kind, for a log or a file."""
    return _ENCODER.encode((get_kind(value), msgspec.Raw(encode(value))))


def unpack(data: bytes) -> Message:
    """Decode the output of ``pack``; raise ``DecodeError`` for anything else."""
    try:
        kind, payload = msgspec.msgpack.decode(data, type=tuple[str, msgspec.Raw])
    except _MALFORMED as error:
        raise DecodeError(str(error)) from error
    return decode(kind, bytes(payload))

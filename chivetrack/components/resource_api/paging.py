"""Continuation tokens of paged lists."""

import base64
import binascii

import msgspec


class Continuation(msgspec.Struct, frozen=True, array_like=True):
    """The name after which the next page starts, and the revision of the first page."""

    after: str
    revision: int


def encode_token(continuation: Continuation) -> str:
    """Encode a continuation as a token for the caller."""
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(continuation)).decode()


def decode_token(token: str) -> Continuation | None:
    """Decode a token; return ``None`` if it is invalid."""
    try:
        data = base64.urlsafe_b64decode(token.encode())
        return msgspec.msgpack.decode(data, type=Continuation)
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return None

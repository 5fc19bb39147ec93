"""Tokens that continue a list."""

import base64
import binascii

import msgspec


class Continuation(msgspec.Struct, frozen=True, array_like=True):
    """Where the next page starts, and the revision of the first one."""

    after: str
    revision: int


def encode_token(continuation: Continuation) -> str:
    """Return the token of a place in a list."""
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(continuation)).decode()


def decode_token(token: str) -> Continuation | None:
    """Return the place, or ``None`` for anything that is no token."""
    try:
        data = base64.urlsafe_b64decode(token.encode())
        return msgspec.msgpack.decode(data, type=Continuation)
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return None

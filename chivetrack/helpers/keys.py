"""Keys of operators, announcers and callers, which are stored only as hashes.

A key is 256 random bits, so SHA-256 is enough: a slow password hash protects *weak*
secrets against guessing, but 2**256 keys cannot be tried at any speed, and a slow hash
would cost milliseconds for each request. Keys chosen by a person must not be used;
``hash_key`` refuses a text that does not have the form of a key from ``make_key``.
"""

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

KEY_BYTES: Final = 32
KEY_PREFIX: Final = "ck_"
HASH_PREFIX: Final = "sha256:"
_KEY_PATTERN: Final = re.compile(rf"{KEY_PREFIX}[A-Za-z0-9_-]{{43}}")


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyHolder:
    """The name of a key's holder, and the key's hash."""

    name: str
    hash: str = field(repr=False)


def make_key() -> str:
    """Return a new key of 256 random bits."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def is_key(text: str) -> bool:
    """Return whether a text has the form of a key."""
    return _KEY_PATTERN.fullmatch(text) is not None


def hash_key(key: str) -> str:
    """Return the hash of a key; raise ``ValueError`` for a text without the form of a key."""
    if not is_key(key):
        raise ValueError("this is not a key made by `chivetrack key make`")
    return _hash(key)


def verify_key(key: str, key_hash: str) -> bool:
    """Return whether a key matches a hash, compared in constant time."""
    return hmac.compare_digest(_hash(key).encode(), key_hash.encode())


class KeyRing:
    """The keys that one listener accepts."""

    def __init__(self, *, holders: Iterable[KeyHolder]) -> None:
        """Initialize with the holders; several keys may be valid at the same time."""
        self._holders = tuple(holders)

    def __len__(self) -> int:
        return len(self._holders)

    def find_holder(self, key: str) -> str | None:
        """Return the name of a key's holder, or ``None``.

        All entries are compared in constant time, also after a match. Otherwise the
        response time would reveal which entry, or how much of a hash, matched.
        """
        digest = _hash(key).encode()
        found: str | None = None
        for holder in self._holders:
            if hmac.compare_digest(digest, holder.hash.encode()):
                found = holder.name
        return found


def _hash(key: str) -> str:
    return HASH_PREFIX + hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()

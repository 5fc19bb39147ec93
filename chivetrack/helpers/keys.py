"""Keys of operators, announcers and callers: made once, kept only as hashes.

A key is 256 random bits, so a plain SHA-256 is enough: a slow hash makes guessing of
*weak* secrets dear, but nobody gets through 2**256 keys at any speed, and a slow hash
would cost each request milliseconds. A key that a person thought up must not be used;
``hash_key`` refuses what is not of the form that ``make_key`` gives.
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
    """Who holds a key, and the key's hash."""

    name: str
    hash: str = field(repr=False)


def make_key() -> str:
    """Return a new key of 256 random bits."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def is_key(text: str) -> bool:
    """Return whether a text has the form of a key."""
    return _KEY_PATTERN.fullmatch(text) is not None


def hash_key(key: str) -> str:
    """Return the hash of a key; raise ``ValueError`` for what ``make_key`` did not make."""
    if not is_key(key):
        raise ValueError("this is not a key made by `chivetrack key make`")
    return _hash(key)


def verify_key(key: str, key_hash: str) -> bool:
    """Return whether a key belongs to a hash, in a time that does not depend on either."""
    return hmac.compare_digest(_hash(key).encode(), key_hash.encode())


class KeyRing:
    """The keys that one listener accepts."""

    def __init__(self, *, holders: Iterable[KeyHolder]) -> None:
        """Take the holders; several keys may be valid at a time."""
        self._holders = tuple(holders)

    def __len__(self) -> int:
        return len(self._holders)

    def find_holder(self, key: str) -> str | None:
        """Return who holds a key, or ``None``.

        Every entry is compared, also after a match: the time of the answer would
        otherwise tell a caller which entry, or how much of a hash, was met.
        """
        digest = _hash(key).encode()
        found: str | None = None
        for holder in self._holders:
            if hmac.compare_digest(digest, holder.hash.encode()):
                found = holder.name
        return found


def _hash(key: str) -> str:
    return HASH_PREFIX + hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()

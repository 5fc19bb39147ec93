"""Hashes of callers' keys, so that the keys themselves are never stored.

A hash has the form ``sha256$ID$DIGEST``. The id is derived from the key, serves as the
salt of the digest and lets a router look up the workspace without comparing with the keys
of all workspaces. Keys must have at least 128 random bits: plain SHA-256 is safe against a
brute-force search only then.
"""

import hashlib
import hmac
from typing import Final

ALGORITHM: Final = "sha256"
MIN_KEY_LENGTH: Final = 22  # 128 bits written in base64
_ID_CONTEXT: Final = b"chivetrack key id\0"
_ID_BYTES: Final = 8


def derive_key_id(key: str) -> str:
    """Return the id of a key, 16 hexadecimal digits, by which its hash is looked up."""
    digest = hashlib.sha256(_ID_CONTEXT + key.encode()).digest()
    return digest[:_ID_BYTES].hex()


def hash_key(key: str) -> str:
    """Hash a caller's key for ``keys`` of a workspace; raise ``ValueError`` if too short."""
    if len(key) < MIN_KEY_LENGTH:
        raise ValueError(f"a key needs at least {MIN_KEY_LENGTH} random characters")
    return _hash(key)


def get_key_id(key_hash: str) -> str:
    """Return the id part of a stored hash."""
    return key_hash.split("$", 2)[1]


def check_key(key: str, key_hash: str) -> bool:
    """Return whether the hash belongs to the key; compares in constant time."""
    return hmac.compare_digest(_hash(key).encode(), key_hash.encode())


def _hash(key: str) -> str:
    key_id = derive_key_id(key)
    digest = hashlib.sha256(f"{key_id}\0{key}".encode()).hexdigest()
    return f"{ALGORITHM}${key_id}${digest}"

"""Fingerprints of requests and of parts of prompts, the same on every router."""

import hashlib

FINGERPRINT_BYTES = 16


def make_fingerprint(*, method: str, target: str, workspace: str, body: bytes) -> bytes:
    """Return a digest of the method, target, workspace and body of a request.

    The hash has to be collision-resistant; otherwise one workspace could craft requests with
    the fingerprint of another workspace's request.
    """
    return _digest(method.encode(), target.encode("latin-1"), workspace.encode(), rest=body)


def make_part_fingerprint(*, service: str, part: str) -> bytes:
    """Return a digest of a part of prompts for one service, whatever request holds it."""
    return _digest(service.encode(), part.encode(), rest=b"part")


def make_service_fingerprint(service: str) -> bytes:
    """Return a digest that stands for any request to a service."""
    return _digest(service.encode(), rest=b"service")


def _digest(*fields: bytes, rest: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(4, "big") + field)
    digest.update(rest)
    return digest.digest()

"""Request fingerprints that are the same on every router."""

import hashlib

FINGERPRINT_BYTES = 16


def make_fingerprint(*, method: str, target: str, workspace: str, body: bytes) -> bytes:
    """Return a digest of the method, target, workspace and body of a request.

    The hash has to be collision-resistant; otherwise one workspace could craft requests with
    the fingerprint of another workspace's request.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (method.encode(), target.encode("latin-1"), workspace.encode()):
        digest.update(len(field).to_bytes(4, "big") + field)
    digest.update(body)
    return digest.digest()

"""Checks the keys of operators."""

from collections.abc import Callable, Iterable

from chivetrack.components.resources.keys import check_key


def make_operator_check(key_hashes: Iterable[str]) -> Callable[[str], bool]:
    """Return a check of bearer tokens against hashes made by ``hash_key``.

    All hashes are compared, even after a match, so that the time taken does not reveal
    which one matches.
    """
    hashes = tuple(key_hashes)

    def check_operator(token: str) -> bool:
        matches = [check_key(token, key_hash) for key_hash in hashes]
        return any(matches)

    return check_operator

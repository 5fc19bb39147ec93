"""Checks operators' keys."""

from collections.abc import Callable, Iterable

from chivetrack.components.resources.keys import check_key


def make_operator_check(key_hashes: Iterable[str]) -> Callable[[str], bool]:
    """Return a check of bearer tokens against hashes made by ``hash_key``.

    All hashes are compared, whether or not one fits, so that the time taken does
    not tell which.
    """
    known = tuple(key_hashes)

    def check_operator(token: str) -> bool:
        fits = [check_key(token, key_hash) for key_hash in known]
        return any(fits)

    return check_operator

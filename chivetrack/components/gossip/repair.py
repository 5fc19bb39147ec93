"""Anti-entropy: finds what a peer lacks, in chunks of bounded size.

A digest lists origins with a checksum each. A receiver whose own checksum differs answers with a
summary, the versions of that origin's keys. The receiver of a summary sends back the values that
are newer than the summary or missing from it.
"""

from collections.abc import Iterator

from chivetrack.components.gossip.const import MAX_DIGEST_ORIGINS, MAX_SUMMARY_KEYS
from chivetrack.components.gossip.models import Digest, KeyVersion, OriginDigest, Summary
from chivetrack.components.gossip.state import KEY_HASH_END, GossipState, OriginState, Value


def make_digest(
    state: GossipState,
    *,
    first: str,
    topics: frozenset[str] | None,
    limit: int = MAX_DIGEST_ORIGINS,
) -> Digest:
    """Return the digest of up to ``limit`` origins from ``first`` on."""
    names = sorted(name for name in state.origins if name >= first)
    listed = names[:limit]
    end = names[limit] if len(names) > limit else None
    origins = tuple(_digest_origin(state.origins[name], topics) for name in listed)
    return Digest(first, end, origins)


def _digest_origin(held: OriginState, topics: frozenset[str] | None) -> OriginDigest:
    return OriginDigest(held.origin, held.incarnation, held.floor, held.get_checksum(topics))


def make_summary(
    held: OriginState, *, first: int, topics: frozenset[str] | None, limit: int = MAX_SUMMARY_KEYS
) -> Summary:
    """Return the versions of up to ``limit`` keys with a hash from ``first`` on."""
    values = sorted(
        (value for value in held.list_in_digests(topics) if value.key_hash >= first),
        key=lambda value: value.key_hash,
    )
    listed = values[:limit]
    end = values[limit].key_hash if len(values) > limit else KEY_HASH_END
    keys = tuple(KeyVersion(value.key_hash, value.version) for value in listed)
    return Summary(held.origin, held.incarnation, first, end, keys)


class Comparison:
    """Result for a digest: values missing at the peer, origins that differ, void values."""

    def __init__(self) -> None:
        """Start without results."""
        self.missing: list[Value] = []
        self.differing: list[str] = []
        self.dropped: list[Value] = []


def compare_digest(
    state: GossipState, digest: Digest, *, topics: frozenset[str] | None
) -> Comparison:
    """Compare a peer's digest with the local state."""
    found = Comparison()
    listed: set[str] = set()
    for theirs in digest.origins:
        listed.add(theirs.origin)
        _compare_origin(state, theirs, topics, found)
    for name, held in state.origins.items():
        in_range = name >= digest.first and (digest.end is None or name < digest.end)
        if in_range and name not in listed:
            found.missing.extend(held.list_in_digests(topics))
    return found


def _compare_origin(
    state: GossipState, theirs: OriginDigest, topics: frozenset[str] | None, found: Comparison
) -> None:
    held = state.origins.get(theirs.origin)
    if held is None:
        if not state.is_removed(theirs.origin):
            found.differing.append(theirs.origin)
        return
    if theirs.incarnation < held.incarnation:
        found.missing.extend(held.list_in_digests(topics))
        return
    newer = theirs.incarnation > held.incarnation
    if not newer and theirs.floor > held.floor:
        found.dropped.extend(held.drop_below_floor(theirs.floor))
    if newer or theirs.checksum != held.get_checksum(topics):
        found.differing.append(theirs.origin)


def find_missing(
    held: OriginState, summary: Summary, *, topics: frozenset[str] | None
) -> Iterator[Value]:
    """Yield the values that the sender of a summary lacks or has in an older version."""
    if summary.incarnation > held.incarnation:
        return
    versions = {entry.key_hash: entry.version for entry in summary.keys}
    if summary.incarnation < held.incarnation:
        versions = {}
    for value in held.list_in_digests(topics):
        in_range = summary.first <= value.key_hash < summary.end
        if in_range and versions.get(value.key_hash, -1) < value.version:
            yield value


def has_newer(held: OriginState, summary: Summary) -> bool:
    """Return whether the sender of a summary has values that are missing here."""
    if summary.incarnation != held.incarnation:
        return summary.incarnation > held.incarnation
    versions = {value.key_hash: value.version for value in held.values.values()}
    return any(
        versions.get(entry.key_hash, -1) < entry.version and entry.version > held.floor
        for entry in summary.keys
    )


def make_empty_summary(origin: str) -> Summary:
    """Return the summary of an origin without values."""
    return Summary(origin, 0, 0, KEY_HASH_END, ())

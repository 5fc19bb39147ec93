"""Where a prompt is cached and expected: its homes, and engines to fetch its parts from."""

import heapq
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.placement.choice import Source


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionSources:
    """Where engines of one software version may fetch a prompt's parts.

    ``best``, ``best_at``: the most cached tokens, and the engine that has them. ``old_home``: the
    first engine in the prompt's rendezvous order that is not new.
    """

    best: int
    best_at: EndpointRecord
    old_home: EndpointRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptState:
    """The state of a prompt across all engines.

    ``shared``: its tokens in shared parts. ``best``: the most cached tokens at any engine.
    ``homes``: the first candidates in its rendezvous order. ``sources``: what is cached at the
    engines of each known software version.
    """

    tokens: int
    shared: int
    best: int
    homes: tuple[EndpointRecord, ...]
    sources: Mapping[str, VersionSources]


def group_sources(
    sources: Sequence[Source], cached: Mapping[str, int], key: str
) -> dict[str, VersionSources]:
    """Return where the engines of each known software version may fetch a prompt's parts."""
    by_version: dict[str, list[Source]] = {}
    for source in sources:
        if source.record.software:
            by_version.setdefault(source.record.software, []).append(source)
    grouped: dict[str, VersionSources] = {}
    for software, members in by_version.items():
        records = [source.record for source in members]
        established = [source.record for source in members if not source.is_new]
        best_at = max(records, key=lambda record: cached[record.endpoint_id])
        grouped[software] = VersionSources(
            best=cached[best_at.endpoint_id],
            best_at=best_at,
            old_home=find_homes(established or records, key, 1)[0],
        )
    return grouped


def find_homes(
    records: Sequence[EndpointRecord], key: str, count: int
) -> tuple[EndpointRecord, ...]:
    """Return the first ``count`` engines in the rendezvous order of the prompt."""
    return tuple(
        heapq.nlargest(count, records, key=lambda record: _hash_rendezvous(record.endpoint_id, key))
    )


def _hash_rendezvous(endpoint_id: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{endpoint_id}/{key}".encode())

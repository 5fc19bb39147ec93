"""Answers that are pending for each peer: summaries and unknown short names."""

from chivetrack.components.gossip.const import (
    MAX_SUMMARY_KEYS,
    MAX_UNKNOWN_NAMES,
    SUMMARY_HEADER_BYTES,
    SUMMARY_KEY_BYTES,
)
from chivetrack.components.gossip.models import Summary
from chivetrack.components.gossip.repair import make_empty_summary, make_summary
from chivetrack.components.gossip.state import KEY_HASH_END, GossipState


class PendingAnswers:
    """Summaries for peers, which then send what is missing here, and names unknown here."""

    def __init__(self, *, state: GossipState, largest_frame: int) -> None:
        """Start without pending answers."""
        self._state = state
        self._summaries: dict[str, dict[str, Summary]] = {}
        self._next_summary_start: dict[str, int] = {}
        self._unknown_names: dict[str, dict[int, None]] = {}
        room = largest_frame // 2 - SUMMARY_HEADER_BYTES - 64
        self._keys = max(1, min(MAX_SUMMARY_KEYS, room // SUMMARY_KEY_BYTES))

    def has_pending(self, peer: str) -> bool:
        """Return whether an answer is pending for a peer."""
        return bool(self._summaries.get(peer) or self._unknown_names.get(peer))

    def drop_peer(self, peer: str) -> None:
        """Drop the pending answers for a peer that was removed."""
        self._summaries.pop(peer, None)
        self._unknown_names.pop(peer, None)

    def add_summary(self, peer: str, origin: str, topics: frozenset[str] | None) -> None:
        """Queue a summary of an origin's keys for a peer, one range of key hashes at a time."""
        self._summaries.setdefault(peer, {})[origin] = self._summarise(origin, topics)

    def pop_summaries(self, peer: str, room: int) -> tuple[Summary, ...]:
        """Return and clear the summaries for a peer that fit into ``room`` bytes."""
        waiting = self._summaries.get(peer, {})
        taken: list[Summary] = []
        for origin in list(waiting):
            room -= bound_summary(waiting[origin])
            if room < 0:
                break
            taken.append(waiting.pop(origin))
        return tuple(taken)

    def requeue(self, peer: str, summaries: tuple[Summary, ...]) -> None:
        """Queue summaries again that were not sent."""
        for summary in summaries:
            self._summaries.setdefault(peer, {}).setdefault(summary.origin, summary)

    def add_unknown_name(self, peer: str, name_hash: int) -> None:
        """Record a short name from a peer that is unknown here."""
        self._unknown_names.setdefault(peer, {})[name_hash] = None

    def list_unknown_names(self, peer: str) -> tuple[int, ...]:
        """Return the unknown names to report to a peer in one frame."""
        return tuple(self._unknown_names.get(peer, {}))[:MAX_UNKNOWN_NAMES]

    def mark_reported(self, peer: str) -> None:
        """Clear the reported names; names that are still unknown are recorded again on receipt."""
        self._unknown_names.pop(peer, None)

    def _summarise(self, origin: str, topics: frozenset[str] | None) -> Summary:
        held = self._state.origins.get(origin)
        if held is None:
            return make_empty_summary(origin)
        first = self._next_summary_start.get(origin, 0)
        summary = make_summary(held, first=first, topics=topics, limit=self._keys)
        self._next_summary_start[origin] = 0 if summary.end == KEY_HASH_END else summary.end
        return summary


def bound_summary(summary: Summary) -> int:
    """Return an upper bound of the encoded size of a summary."""
    name = len(summary.origin.encode())
    return SUMMARY_HEADER_BYTES + name + SUMMARY_KEY_BYTES * len(summary.keys)

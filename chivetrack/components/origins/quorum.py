"""Decides whether answers of replicas outvote every other set of answers."""

from collections.abc import Mapping

from chivetrack.components.origins.messages import OriginAnswer


def covers_majority(answers: Mapping[str, OriginAnswer]) -> bool:
    """Return whether the senders are a majority of the replicas that each of them knows.

    A sender that knows an old set of replicas makes the condition stricter, never weaker.
    """
    if not answers:
        return False
    return all(
        2 * sum(member in answers for member in answer.members) > len(answer.members) > 0
        for answer in answers.values()
    )


def has_all_members(answers: Mapping[str, OriginAnswer]) -> bool:
    """Return whether every replica that a sender knows is among the senders."""
    members = {member for answer in answers.values() for member in answer.members}
    return bool(members) and members <= answers.keys()

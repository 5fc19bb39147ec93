"""Choice of witnesses, and the rules for confirming a suspicion."""

import random as random_module
from collections.abc import Iterable

from chivetrack.components.membership.const import REQUIRED_DENIALS, WITNESSES_PER_ROUND
from chivetrack.components.membership.member import Member
from chivetrack.components.membership.models import InstanceStatus


def list_candidates(target: Member, members: Iterable[Member], now: float) -> list[Member]:
    """Return the instances that can act as witnesses: alive and not silent."""
    return [
        member
        for member in members
        if member is not target
        and member.status is InstanceStatus.ALIVE
        and not member.is_silent(now)
    ]


def choose_witnesses(
    target: Member, candidates: list[Member], *, own_zone: str, random: random_module.Random
) -> list[Member]:
    """Return the witnesses of the next round, at least one of another zone if possible.

    Witnesses that were not asked yet come first. Instances of one zone share switches: if
    all witnesses were in this instance's zone, a cut between two zones would make all instances
    of the other zone look dead.
    """
    shuffled = random.sample(candidates, len(candidates))
    shuffled.sort(key=lambda member: member.instance_id in target.asked_witnesses)
    others = [member for member in shuffled if member.record.zone != own_zone]
    chosen = others[:1]
    chosen.extend(member for member in shuffled if member not in chosen)
    return chosen[:WITNESSES_PER_ROUND]


def is_confirmed(target: Member, candidates: list[Member], *, own_zone: str) -> bool:
    """Return whether enough witnesses failed to reach the target.

    Required are ``REQUIRED_DENIALS`` denials, or all if there are fewer candidates, and
    one from another zone if there is a candidate there. Without any candidate nothing is
    confirmed: a single remaining instance can't distinguish the failure of its own link
    from a failure of the target.
    """
    zones = {member.instance_id: member.record.zone for member in candidates}
    denials = [name for name in target.denials if name in zones]
    needed = min(REQUIRED_DENIALS, len(candidates))
    if needed == 0 or len(denials) < needed:
        return False
    has_other_zone = any(zone != own_zone for zone in zones.values())
    return not has_other_zone or any(zones[name] != own_zone for name in denials)


def is_isolated(members: Iterable[Member], now: float) -> bool:
    """Return whether most instances are silent, so that this one counts as cut off."""
    counted = [member for member in members if member.is_counted]
    silent = sum(1 for member in counted if member.is_silent(now))
    return 2 * silent > len(counted)

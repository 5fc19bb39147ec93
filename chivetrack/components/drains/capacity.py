"""Whether enough capacity remains if a drain begins."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from chivetrack.components.drains.const import MAX_NAMED_DRAINS
from chivetrack.components.drains.models import DesiredDrain, Member, Reservation

_ROUNDING = 1e-9


@dataclass(frozen=True, slots=True, kw_only=True)
class FloorCheckResult:
    """Whether a drain may begin; ``reserved`` is what it takes, ``reason`` why not."""

    reserved: Reservation = field(default_factory=dict)
    reason: str = ""


class CapacityTracker:
    """The capacity of each group, and what the drains in force have taken of it.

    All of a group counts, also what is broken or was drained; only what is ready and
    not drained remains. Were the drained left out of the whole, drains of half each
    could follow one another until nothing remains.
    """

    def __init__(self, *, members: Sequence[Member], in_force: Iterable[DesiredDrain]) -> None:
        """Count the members; ``in_force`` are the drains that routers follow."""
        self._members = members
        self._in_force: list[DesiredDrain] = []
        self._reservations: list[Reservation] = []
        self._remaining: Counter[str] = Counter()
        self._covered: set[tuple[str, str]] = set()
        for member in members:
            if member.is_ready:
                self._remaining[member.group] += member.capacity
        for drain in in_force:
            self.reserve(drain, {} if drain.report is None else drain.report.reserved)

    def check(self, drain: DesiredDrain) -> FloorCheckResult:
        """Tell whether the drain may begin beside those in force."""
        taken: Counter[str] = Counter()
        reserved: Reservation = {}
        targets = [member for member in self._members if member.is_target_of(drain.spec)]
        if not targets:
            # Begun now, it would take what comes back later without any look at the floor.
            target = drain.spec.target
            return FloorCheckResult(reason=f"no {target.kind.value} {target.name} is known")
        for member in targets:
            is_covered = self._is_covered(member)
            if is_covered or member.is_ready:
                # One that is covered counts too: it stays out when the other drain ends.
                reserved.setdefault(member.group, {})[member.name] = member.capacity
            if member.is_ready and not is_covered:
                taken[member.group] += member.capacity
        for group in sorted(reserved):
            reason = self._check_group(drain, group, taken[group])
            if reason:
                return FloorCheckResult(reason=reason)
        return FloorCheckResult(reserved=reserved)

    def reserve(self, drain: DesiredDrain, reserved: Reservation) -> None:
        """Count a drain as in force from now on."""
        for member in self._members:
            if not member.is_target_of(drain.spec) or self._is_covered(member):
                continue
            if member.is_ready:
                self._remaining[member.group] -= member.capacity
            self._covered.add((member.group, member.name))
        self._reservations.append(reserved)
        self._in_force.append(drain)

    def _is_covered(self, member: Member) -> bool:
        return (member.group, member.name) in self._covered

    def _check_group(self, drain: DesiredDrain, group: str, taken: int) -> str:
        whole = self._sum_total_capacity(group)
        others = [other for other in self._in_force if self._affects_group(other, group)]
        floor = max([drain.spec.floor, *(other.spec.floor for other in others)])
        remaining = self._remaining[group] - taken
        if remaining >= floor * whole - _ROUNDING:
            return ""
        share = f"{group} would keep {remaining} of {whole}, {floor:.0%} must remain"
        if others and whole - taken >= drain.spec.floor * whole - _ROUNDING:
            names = ", ".join(sorted(other.name for other in others)[:MAX_NAMED_DRAINS])
            return f"waits for drain {names}: {share}"
        return f"floor: {share}"

    def _sum_total_capacity(self, group: str) -> int:
        # What was drained and has left since is listed no longer; its reservation keeps
        # it in the whole for as long as its drain lasts.
        whole: dict[str, int] = {}
        for reservation in self._reservations:
            whole.update(reservation.get(group, {}))
        for member in self._members:
            if member.group == group and (self._is_covered(member) or not member.is_leaving):
                whole[member.name] = member.capacity
        return sum(whole.values())

    def _affects_group(self, drain: DesiredDrain, group: str) -> bool:
        if drain.report is not None and group in drain.report.reserved:
            return True
        return any(
            member.group == group and member.is_target_of(drain.spec) for member in self._members
        )

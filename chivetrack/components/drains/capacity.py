"""Checks that enough capacity remains when a drain starts."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from chivetrack.components.drains.const import MAX_NAMED_DRAINS
from chivetrack.components.drains.models import DesiredDrain, Member, Reservation

_ROUNDING_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True, kw_only=True)
class FloorCheckResult:
    """Result of checking whether a drain may start.

    ``reserved`` is the capacity that the drain takes. ``reason`` says why it may not
    start, and is empty if it may.
    """

    reserved: Reservation = field(default_factory=dict)
    reason: str = ""


class CapacityTracker:
    """Tracks the total and the remaining capacity of each group.

    Broken and drained members count in the total; only members that are ready and not
    drained count as remaining. If drained members did not count in the total, drains of
    one half each could follow one another until nothing remains.
    """

    def __init__(self, *, members: Sequence[Member], in_force: Iterable[DesiredDrain]) -> None:
        """Sum up the members and reserve capacity for ``in_force``, the drains routers apply."""
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
        """Check whether the drain may start in addition to those in force."""
        removed: Counter[str] = Counter()
        reserved: Reservation = {}
        targets = [member for member in self._members if member.is_target_of(drain.spec)]
        if not targets:
            # If the drain started now, targets that return later would be drained without a
            # check of the floor.
            target = drain.spec.target
            return FloorCheckResult(reason=f"no {target.kind.value} {target.name} is known")
        for member in targets:
            is_covered = self._is_covered(member)
            if is_covered or member.is_ready:
                # A member covered by another drain is reserved too, because it stays drained when
                # the other drain ends.
                reserved.setdefault(member.group, {})[member.name] = member.capacity
            if member.is_ready and not is_covered:
                removed[member.group] += member.capacity
        for group in sorted(reserved):
            reason = self._check_group(drain, group, removed[group])
            if reason:
                return FloorCheckResult(reason=reason)
        return FloorCheckResult(reserved=reserved)

    def reserve(self, drain: DesiredDrain, reserved: Reservation) -> None:
        """Count a drain as in force, with ``reserved`` as its capacity."""
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

    def _check_group(self, drain: DesiredDrain, group: str, removed: int) -> str:
        total = self._sum_total_capacity(group)
        others = [other for other in self._in_force if self._affects_group(other, group)]
        floor = max([drain.spec.floor, *(other.spec.floor for other in others)])
        remaining = self._remaining[group] - removed
        if remaining >= floor * total - _ROUNDING_TOLERANCE:
            return ""
        share = f"{group} would keep {remaining} of {total}, {floor:.0%} must remain"
        if others and total - removed >= drain.spec.floor * total - _ROUNDING_TOLERANCE:
            names = ", ".join(sorted(other.name for other in others)[:MAX_NAMED_DRAINS])
            return f"waits for drain {names}: {share}"
        return f"floor: {share}"

    def _sum_total_capacity(self, group: str) -> int:
        # A drained member that has left is no longer listed. Its reservation keeps its
        # capacity in the total for as long as the drain exists.
        total: dict[str, int] = {}
        for reservation in self._reservations:
            total.update(reservation.get(group, {}))
        for member in self._members:
            if member.group == group and (self._is_covered(member) or not member.is_leaving):
                total[member.name] = member.capacity
        return sum(total.values())

    def _affects_group(self, drain: DesiredDrain, group: str) -> bool:
        if drain.report is not None and group in drain.report.reserved:
            return True
        return any(
            member.group == group and member.is_target_of(drain.spec) for member in self._members
        )

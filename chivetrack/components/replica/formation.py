"""Founds the replicated log: who its first members are, agreed once.

Every replica id is new for every disk. So a replica whose folder was lost comes back
as a stranger, not as the voter it was, and can't vote a second time in one term.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from chivetrack.components.consensus.members import Member, Members
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, TimeReached, WakeAt
from chivetrack.helpers.codec import Message, message

HELLO_INTERVAL_S = 0.3


@message("replica.hello")
class Hello(Message, frozen=True, array_like=True):
    """What one of the first instances knows before the log exists.

    ``seen`` are the blank replicas it knows of, itself among them. ``members`` is set
    once the log exists. ``founders`` are the instances that found the log together, as far
    as the sender knows; with ``knows_bootstrap_instances`` it has that from the first start.
    ``has_first_disk``: its disk has been the same since the first start. ``round`` grows each
    time that the disk of a founder is seen to be lost.
    """

    instance_id: str
    replica_id: str
    known_blank: tuple[Member, ...] = ()
    members: Members | None = None
    bootstrap_instances: tuple[str, ...] = ()
    knows_bootstrap_instances: bool = True
    has_first_disk: bool = True
    round: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LogBootstrapped(Effect):
    """The log begins with these members, this replica among them."""

    members: Members


@dataclass(frozen=True, slots=True, kw_only=True)
class NotAMember(Effect):
    """The log exists without this replica, which has to be added."""

    members: Members


class LogBootstrap:
    """Agrees on the first members among the instances that the settings name.

    A log is founded only when every one of them has said that it is blank and sees
    the same set. With different sets two logs could be founded that share members. So when a
    founder comes back with another disk, all begin a new round. Whoever has founded in an
    earlier round takes no part in the new one and says so, and without it nothing is
    founded there.

    An instance that was killed before it wrote anything comes back like one whose disk was
    lost, and its settings do not say any more that the deployment starts. It takes part
    again, but counts as one that may have lost its disk. A log that has acknowledged
    anything was on the disks of all founders. So a blank founder whose disk is that of the
    first start proves that there is no such log, and so do more blank founders than disks
    may be lost at once; without either, nothing is founded.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        replica_id: str,
        instances: Sequence[str],
        contacts: Collection[str] = (),
        has_first_disk: bool = True,
        tolerated_losses: int = 0,
    ) -> None:
        """Take the own ids and the ids of all first instances.

        ``contacts`` are told as well. ``has_first_disk``: this disk has been the same since the
        first start, which ``instances`` are from; otherwise they are a guess.
        ``tolerated_losses`` is how many disks may be lost at once.
        """
        self._own = Member(replica_id=replica_id, instance_id=instance_id, voter=True)
        self._contacts = set(contacts)
        self._has_first_disk = has_first_disk
        self._tolerated_losses = tolerated_losses
        self._knows_bootstrap_instances = has_first_disk
        self._instances = tuple(sorted(instances))
        self._start_round(0)
        self._next_hello = float("-inf")
        self._ended = False

    def _start_round(self, number: int) -> None:
        self._round = number
        self._blank: dict[str, Member] = {}
        if self._own.instance_id in self._instances:
            self._blank[self._own.instance_id] = self._own
        self._known_blank_by: dict[str, tuple[Member, ...]] = {}
        self._with_first_disk: set[str] = {self._own.instance_id} if self._has_first_disk else set()

    @property
    def may_have_lost_log(self) -> bool:
        """Return whether all founders are blank and a log may yet have been lost with them."""
        return self._are_all_blank() and not self._is_provably_first_log()

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take a hello, or say the own when it is due."""
        if self._ended:
            return []
        if isinstance(event, MessageReceived) and isinstance(event.message, Hello):
            return self._handle_hello(event.message)
        if isinstance(event, TimeReached):
            return self._send_hello(now)
        return []

    def _handle_hello(self, hello: Hello) -> list[Effect]:
        if hello.members is not None:
            return self._adopt_members(hello.members)
        self._contacts.add(hello.instance_id)
        self._adopt_bootstrap_instances(hello)
        if not self._is_from_bootstrap_instance(hello):
            return []
        self._record_blank(hello)
        return self._try_bootstrap()

    def _adopt_bootstrap_instances(self, hello: Hello) -> None:
        """Believe whoever knows the founders, unless the own guess may have come true."""
        if (
            self._knows_bootstrap_instances
            or not hello.knows_bootstrap_instances
            or self._are_all_blank()
        ):
            return
        self._knows_bootstrap_instances = True
        if hello.bootstrap_instances not in ((), self._instances):
            self._instances = hello.bootstrap_instances
            self._start_round(self._round)

    def _is_from_bootstrap_instance(self, hello: Hello) -> bool:
        is_named = hello.instance_id in self._instances
        return is_named and hello.bootstrap_instances in ((), self._instances)

    def _record_blank(self, hello: Hello) -> None:
        if hello.round < self._round:
            return
        if hello.round > self._round:
            self._start_round(hello.round)
        before = self._blank.get(hello.instance_id)
        if before is not None and before.replica_id != hello.replica_id:
            # One of the two words is late and of the lost disk. Both have to speak again, and
            # only the successor can.
            self._start_round(self._round + 1)
            return
        self._blank[hello.instance_id] = Member(
            replica_id=hello.replica_id, instance_id=hello.instance_id, voter=True
        )
        self._known_blank_by[hello.instance_id] = hello.known_blank
        if hello.has_first_disk:
            self._with_first_disk.add(hello.instance_id)

    def _adopt_members(self, members: Members) -> list[Effect]:
        self._ended = True
        if members.find(self._own.replica_id) is None:
            return [NotAMember(members=members)]
        return [LogBootstrapped(members=members)]

    def _are_all_blank(self) -> bool:
        return len(self._blank) == len(self._instances)

    def _is_provably_first_log(self) -> bool:
        return bool(self._with_first_disk) or len(self._instances) > self._tolerated_losses

    def _try_bootstrap(self) -> list[Effect]:
        is_founder = self._own.instance_id in self._instances
        if not (is_founder and self._are_all_blank() and self._is_provably_first_log()):
            return []
        members = self._list_known_blank()
        others = [name for name in self._instances if name != self._own.instance_id]
        if any(self._known_blank_by.get(name) != members for name in others):
            return []
        self._ended = True
        return [LogBootstrapped(members=Members(members=members))]

    def _list_known_blank(self) -> tuple[Member, ...]:
        return tuple(self._blank[name] for name in sorted(self._blank))

    def _send_hello(self, now: float) -> list[Effect]:
        if now < self._next_hello:
            return [WakeAt(at=self._next_hello)]
        self._next_hello = now + HELLO_INTERVAL_S
        hello = Hello(
            instance_id=self._own.instance_id,
            replica_id=self._own.replica_id,
            known_blank=self._list_known_blank(),
            bootstrap_instances=self._instances,
            knows_bootstrap_instances=self._knows_bootstrap_instances,
            has_first_disk=self._has_first_disk,
            round=self._round,
        )
        targets = (self._contacts | set(self._instances)) - {self._own.instance_id}
        effects: list[Effect] = [
            SendMessage(target=name, message=hello) for name in sorted(targets)
        ]
        effects.extend(self._try_bootstrap())
        effects.append(WakeAt(at=self._next_hello))
        return effects

"""Bootstrap of the replicated log: the bootstrap instances agree once on its first members.

Each new data folder gets a new replica id. So a replica whose folder was lost does not
return as the voter that it was, and can't vote twice in one term.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from chivetrack.components.consensus.members import Member, Members
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, TimeReached, WakeAt
from chivetrack.helpers.codec import Message, Priority, message

HELLO_INTERVAL_S = 0.3


@message("replica.hello", priority=Priority.URGENT)
class Hello(Message, frozen=True, array_like=True):
    """Periodic message between instances before the log exists, and the answer of a member.

    A blank replica holds no log. ``known_blank`` are the blank replicas that the sender
    knows, including itself. ``members`` is set once the log exists.
    ``bootstrap_instances`` are the instances that create the log together, as far as the
    sender knows; ``knows_bootstrap_instances``: this list dates from the first start of
    the deployment. ``has_first_disk``: the sender's disk has been the same since that
    start. ``round`` rises each time that a bootstrap instance is found to have a new disk.
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
    """The log exists with these members, and this replica is one of them."""

    members: Members


@dataclass(frozen=True, slots=True, kw_only=True)
class NotAMember(Effect):
    """The log exists, but this replica is not a member and has to be added."""

    members: Members


class LogBootstrap:
    """Agrees on the first members of the log with the other bootstrap instances.

    The log is created only when every bootstrap instance has reported that it is blank and
    knows the same set of blank replicas. With different sets, two logs that share members
    could be created. So when a bootstrap instance returns with another disk, all start a
    new round. An instance that created the log in an earlier round does not take part in
    the new round and answers with the members; without it, the new round can't succeed.

    An instance that was killed before it wrote anything returns like one that lost its
    disk, and its settings no longer mark the first start of the deployment. It takes part
    again, but counts as an instance that may have lost its disk. A log with acknowledged
    entries was on the disks of all bootstrap instances. Two facts therefore prove that no
    such log exists: a blank bootstrap instance still has the disk of the first start, or
    more bootstrap instances are blank than disks may be lost at once. If neither holds, no
    log is created.
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
        """Create the bootstrap state of one instance.

        ``instances`` are the ids of the bootstrap instances. With ``has_first_disk``, this
        instance's disk has been the same since the first start of the deployment, and
        ``instances`` dates from that start; otherwise ``instances`` is a guess. ``contacts``
        are further instances that receive hellos. ``tolerated_losses`` is how many disks may
        be lost at once.
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
        """Return whether all bootstrap instances are blank, but may have lost a log.

        In this state, neither fact in the description of the class holds.
        """
        return self._are_all_blank() and not self._is_provably_first_log()

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Process a hello, or send one when it is due."""
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
        """Adopt the bootstrap instances of a sender that knows them.

        The current list is kept if all of its instances are blank: a log may have been
        created from it.
        """
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
            # One of the two hellos is delayed and from a lost disk. In a new round, only the
            # replica that replaced it can send a hello.
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
        takes_part = self._own.instance_id in self._instances
        if not (takes_part and self._are_all_blank() and self._is_provably_first_log()):
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

"""Founds the replicated log: who its first members are, agreed once.

Every replica id is new for every disk. So a replica whose folder was lost comes back
as a stranger, not as the voter it was, and can't vote a second time in one term.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from chivetrack.components.consensus.members import Member, Members
from chivetrack.core import Effect, Event, MessageReceived, SendMessage, TimeReached, WakeAt
from chivetrack.helpers.codec import Message, message

HELLO_INTERVAL_S = 0.3


@message("replica.hello")
class Hello(Message, frozen=True, array_like=True):
    """What one of the first instances knows before the log exists.

    ``seen`` are the blank replicas it knows of, itself among them. ``members`` is set
    once the log exists.
    """

    instance_id: str
    replica_id: str
    seen: tuple[Member, ...] = ()
    members: Members | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Founded(Effect):
    """The log begins with these members, this replica among them."""

    members: Members


@dataclass(frozen=True, slots=True, kw_only=True)
class Stranger(Effect):
    """The log exists without this replica; an operator has to add it."""

    members: Members


class Formation:
    """Agrees on the first members among the instances that the settings name.

    A log is founded only when every one of them has said that it is blank and sees
    the same set. Each sticks to the first whole set it has seen: with another one,
    two logs could be founded that share members.
    """

    def __init__(self, *, instance_id: str, replica_id: str, instances: Sequence[str]) -> None:
        """Take the own ids and the ids of all first instances."""
        self._own = Member(replica_id=replica_id, instance_id=instance_id, voter=True)
        self._instances = tuple(sorted(instances))
        self._blank: dict[str, Member] = {instance_id: self._own}
        self._seen_by: dict[str, tuple[Member, ...]] = {}
        self._promised: tuple[Member, ...] = ()
        self._next_hello = float("-inf")
        self._ended = False

    def handle(self, event: Event, *, now: float) -> list[Effect]:
        """Take a hello, or say the own when it is due."""
        if self._ended:
            return []
        if isinstance(event, MessageReceived) and isinstance(event.message, Hello):
            return self._take(event.message)
        if isinstance(event, TimeReached):
            return self._say(now)
        return []

    def _take(self, hello: Hello) -> list[Effect]:
        if hello.members is not None:
            return self._follow(hello.members)
        if hello.instance_id not in self._instances:
            return []
        member = Member(replica_id=hello.replica_id, instance_id=hello.instance_id, voter=True)
        self._blank[hello.instance_id] = member
        self._seen_by[hello.instance_id] = hello.seen
        return self._found()

    def _follow(self, members: Members) -> list[Effect]:
        self._ended = True
        if members.find(self._own.replica_id) is None:
            return [Stranger(members=members)]
        return [Founded(members=members)]

    def _found(self) -> list[Effect]:
        if len(self._blank) < len(self._instances):
            return []
        if not self._promised:
            self._promised = self._list_seen()
        others = [name for name in self._instances if name != self._own.instance_id]
        if any(self._seen_by.get(name) != self._promised for name in others):
            return []
        self._ended = True
        return [Founded(members=Members(members=self._promised))]

    def _list_seen(self) -> tuple[Member, ...]:
        return tuple(self._blank[name] for name in sorted(self._blank))

    def _say(self, now: float) -> list[Effect]:
        if now < self._next_hello:
            return [WakeAt(at=self._next_hello)]
        self._next_hello = now + HELLO_INTERVAL_S
        hello = Hello(
            instance_id=self._own.instance_id,
            replica_id=self._own.replica_id,
            seen=self._promised or self._list_seen(),
        )
        effects: list[Effect] = [
            SendMessage(target=name, message=hello)
            for name in self._instances
            if name != self._own.instance_id
        ]
        effects.extend(self._found())
        effects.append(WakeAt(at=self._next_hello))
        return effects

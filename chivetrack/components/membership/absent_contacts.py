"""Contact attempts to instances that this instance does not hear from."""

import random as random_module
from collections.abc import Collection, Iterable

from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import Peer
from chivetrack.components.membership.const import (
    CONTACT_ABSENT_INTERVAL_S,
    MAX_ABSENT_CONTACTS,
)
from chivetrack.components.membership.member import Member
from chivetrack.components.membership.models import InstanceStatus, Seed


class AbsentContacts:
    """Contacts a few seeds or dead instances at regular intervals.

    Otherwise two sides of a partition that declared each other dead would never reconnect.
    """

    def __init__(
        self,
        *,
        gossip: Gossip,
        own_address: str,
        seeds: Iterable[Seed],
        random: random_module.Random,
    ) -> None:
        """Store the seeds; ``own_address`` is never contacted."""
        self._gossip = gossip
        self._own_address = own_address
        self._seeds = tuple(seeds)
        self._random = random
        self._contacted_at = float("-inf")

    def tick(self, members: Collection[Member], now: float) -> None:
        """Contact some of the absent instances if the interval has passed."""
        if now < self._contacted_at + CONTACT_ABSENT_INTERVAL_S:
            return
        self._contacted_at = now
        absent = self._list_absent(members)
        for peer in self._random.sample(absent, min(MAX_ABSENT_CONTACTS, len(absent))):
            self._gossip.greet(peer)

    def _list_absent(self, members: Collection[Member]) -> list[Peer]:
        # The settings name seeds by address; the instance id is known only after contact.
        known_addresses = {member.record.address for member in members}
        known_addresses.add(self._own_address)
        absent = [
            Peer(instance_id=seed.instance_id, region=seed.region)
            for seed in self._seeds
            if seed.address not in known_addresses
        ]
        dead = [member for member in members if member.status is InstanceStatus.DEAD]
        absent.extend(Peer(instance_id=m.instance_id, region=m.record.region) for m in dead)
        return absent

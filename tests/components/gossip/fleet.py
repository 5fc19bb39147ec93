"""A fleet of gossip instances on the in-memory network."""

import random

from chivetrack.components.gossip.gossip import Gossip
from chivetrack.components.gossip.models import Peer, ValueUpdate
from tests.components.network import Network

TOPIC = "topic"


class GossipFleet:
    """Gossip instances that know each other, and the updates that each got on one topic."""

    def __init__(self, size: int, *, seed: int = 1, budget_bytes_per_s: int = 4096) -> None:
        self.network = Network(seed=seed)
        self.names = [f"router-{index}" for index in range(size)]
        self.seed = seed
        self.budget = budget_bytes_per_s
        self.gossips: dict[str, Gossip] = {}
        self.updates: dict[str, list[ValueUpdate]] = {name: [] for name in self.names}
        for name in self.names:
            self.start(name, incarnation=1)

    def start(self, name: str, *, incarnation: int, clock_offset_s: float = 0.0) -> Gossip:
        gossip = Gossip(
            instance_id=name,
            incarnation=incarnation,
            random=random.Random(f"{self.seed}{name}{incarnation}"),
            budget_bytes_per_s=self.budget,
        )
        gossip.set_peers([Peer(instance_id=other, region="") for other in self.names])
        gossip.subscribe(TOPIC, self.updates[name].append)
        self.gossips[name] = gossip
        self.network.start(name, [gossip], clock_offset_s=clock_offset_s)
        return gossip

    def list_held(self, name: str, origin: str) -> dict[str, bytes | None]:
        """Return the latest value of each key of an origin that a node was notified of."""
        return {
            update.key: update.payload for update in self.updates[name] if update.origin == origin
        }

    def count_holders(self, origin: str, key: str, payload: bytes | None) -> int:
        return sum(
            1
            for name in self.names
            if name != origin and self.list_held(name, origin).get(key, b"-") == payload
        )

    def find_max_bytes_per_s(self, name: str) -> int:
        """Return the most bytes that one incarnation of a node sent in any window of one second.

        Nodes restart instantly here, which a process can't, so a second that spans a restart is not
        counted as one.
        """
        sent = [sent for sent in self.network.sent if sent.source == name]
        return max(
            (
                sum(
                    s.charged_bytes
                    for s in sent[i:]
                    if s.at < first.at + 1.0 and s.incarnation == first.incarnation
                )
                for i, first in enumerate(sent)
            ),
            default=0,
        )

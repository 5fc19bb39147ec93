"""Random restarts, partitions and releases: no stream is ever attributed to a wrong version."""

import os
import unittest
from collections import Counter
from collections.abc import Callable
from random import Random

from chivetrack.components.origins.const import VERSION_MEMORY_S
from tests.components.origins.world import World

SEEDS = int(os.environ.get("CHIVETRACK_ORIGIN_SEEDS", "100"))
STEPS = 200
VERSIONS = ("v1", "v2", "v3")


class Disturbance:
    """Lets at most one thing happen in each step."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.random = Random(seed)
        self.version = VERSIONS[0]
        self.kinds: list[tuple[float, Callable[[], None]]] = [
            (0.03, self.restart_replica),
            (0.02, self.restart_router),
            (0.03, self.cut_link),
            (0.01, self.cut_router),
            (0.03, world.cut.clear),
            (0.03, self.start_endpoint),
            (0.02, world.stop_endpoint),
            (0.02, self.release),
            (0.001, self.lose_power),
            (0.0005, self.wait_long),
        ]

    def step(self) -> None:
        point = self.random.random()
        for chance, function in self.kinds:
            if point < chance:
                function()
                return
            point -= chance

    def choose_replica(self) -> str:
        return self.random.choice(sorted(self.world.replicas))

    def choose_router(self) -> str:
        return self.random.choice(sorted(self.world.routers))

    def restart_replica(self) -> None:
        self.world.restart_replica(self.choose_replica())

    def restart_router(self) -> None:
        self.world.restart_router(self.choose_router())

    def cut_link(self) -> None:
        self.world.cut.add(frozenset((self.choose_router(), self.choose_replica())))

    def cut_router(self) -> None:
        router = self.choose_router()
        self.world.cut |= {frozenset((router, replica)) for replica in self.world.replicas}

    def start_endpoint(self) -> None:
        self.world.start_endpoint(self.version)

    def release(self) -> None:
        self.version = self.random.choice(VERSIONS)
        self.world.start_endpoint(self.version)

    def lose_power(self) -> None:
        for name in self.world.replicas:
            self.world.restart_replica(name)

    def wait_long(self) -> None:
        self.world.streams.clear()
        self.world.now += VERSION_MEMORY_S


class OriginFuzzTest(unittest.TestCase):
    def run_world(self, seed: int) -> Counter[str]:
        world, random = World(seed), Random(seed)
        disturbance = Disturbance(world, seed)
        for _ in range(3):
            disturbance.start_endpoint()
        counts: Counter[str] = Counter()
        for _ in range(STEPS):
            disturbance.step()
            world.step()
            world.begin_stream(random.choice(sorted(world.routers)))
            if world.streams and random.random() < 0.5:
                stream = random.choice(world.streams[-random.choice((2, 40)) :])
                world.take_up(stream, random.choice(sorted(world.routers)))
        for stream, verdict in world.verdicts:
            counts[verdict.basis.value] += 1
            if verdict.origin is not None:
                self.assertEqual(verdict.origin, stream.origin, (seed, stream, verdict))
        return counts

    def test_no_stream_is_attributed_to_a_wrong_version(self) -> None:
        """Guards against streams that go on at another version while parts of the fleet fail."""
        counts: Counter[str] = Counter()
        for seed in range(SEEDS):
            counts += self.run_world(seed)
        for basis in ("told", "only_version", "no_record", "no_majority"):
            self.assertGreater(counts[basis], 0, counts)


if __name__ == "__main__":
    unittest.main()

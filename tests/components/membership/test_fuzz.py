"""Membership under random faults, checked against the true state of the routers."""

import random
import unittest

from chivetrack.components.membership.models import InstanceStatus
from tests.components.membership.fleet import MembershipFleet

GRACE_S = 20.0


class _World:
    """Routers that are killed, frozen and restarted, and links that fail one at a time.

    ``excused`` is the last time at which a router was down or frozen; for ``GRACE_S``
    after that it may be declared dead.
    """

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.fleet = MembershipFleet([3, 3, 3], seed=seed)
        self.network = self.fleet.network
        self.network.drop = 0.05
        self.network.duplicate = 0.1
        self.network.delay_s = (0.001, 0.08)
        self.names = list(self.fleet.memberships)
        self.down: dict[str, float] = {}
        self.frozen: set[str] = set()
        self.excused: dict[str, float] = {}
        self.incarnations = dict.fromkeys(self.names, 1)

    def step(self) -> None:
        if self.source.random() < 0.25:
            actions = [self.kill, self.freeze, self.cut_link, self.bring_back, self.bring_back]
            self.source.choice(actions)()
        for name in (*self.down, *self.frozen):
            self.excused[name] = self.network.now
        self.network.run_for(1)

    def choose_running(self) -> str | None:
        """Return a running router, or ``None`` if three are out already.

        With more routers out, the others could regard themselves as cut off.
        """
        if len(self.down) + len(self.frozen) >= 3:
            return None
        running = [n for n in self.names if n not in self.down and n not in self.frozen]
        return self.source.choice(running)

    def kill(self) -> None:
        name = self.choose_running()
        if name is not None:
            self.network.kill(name)
            self.down[name] = self.network.now

    def freeze(self) -> None:
        name = self.choose_running()
        if name is not None:
            self.network.freeze(name)
            self.frozen.add(name)

    def cut_link(self) -> None:
        self.network.heal()
        left, right = self.source.sample(self.names, 2)
        self.network.cut([left], [right], one_way=self.source.random() < 0.5)

    def bring_back(self) -> None:
        if self.frozen:
            name = self.source.choice(sorted(self.frozen))
            self.frozen.discard(name)
            self.excused[name] = self.network.now
            self.network.thaw(name)
        elif self.down:
            name = self.source.choice(sorted(self.down))
            self.excused[name] = self.network.now
            del self.down[name]
            self.incarnations[name] += 1
            self.fleet.start(name, incarnation=self.incarnations[name])


class MembershipFuzzTest(unittest.TestCase):
    def test_against_the_oracle(self) -> None:
        """Routers are killed, frozen and restarted while links fail and frames are lost.

        No router that was up all the time may be declared dead, whatever links failed. At
        the end, with all links restored, every router must know the true status of all.
        """
        for seed in range(10):
            with self.subTest(seed=seed):
                world = _World(seed)
                world.network.run_for(10)
                for _ in range(90):
                    seen = len(world.fleet.reported)
                    world.step()
                    self.check_accusations(world, seen)
                self.check_end(world)

    def check_accusations(self, world: _World, seen: int) -> None:
        for at, viewer, reported in world.fleet.reported[seen:]:
            if reported.status is not InstanceStatus.DEAD:
                continue
            excused_at = world.excused.get(reported.instance_id, float("-inf"))
            self.assertLess(at - excused_at, GRACE_S, (viewer, reported))

    def check_end(self, world: _World) -> None:
        world.network.heal()
        while world.frozen:
            world.bring_back()
        world.network.run_for(20)
        running = [name for name in world.names if name not in world.down]
        for viewer in running:
            for target in world.names:
                if viewer == target:
                    continue
                status = world.fleet.get_status(viewer, target)
                if target in world.down:
                    self.assertNotIn(status, (InstanceStatus.ALIVE, InstanceStatus.SUSPECT))
                else:
                    self.assertIs(status, InstanceStatus.ALIVE, (viewer, target))

"""Compares registries under random faults with an oracle that knows the state of all endpoints."""

import random
import unittest
from dataclasses import dataclass

from chivetrack.components.endpoints.models import Availability
from tests.components.endpoints.fleet import LEAVING, SERVICE, EndpointFleet, make_announcement

LEASE_S = 6.0
PROPAGATION_S = 2.5
HEALED_S = 5.0
SETTLE_S = 12.0
SLACK_S = 1.0


@dataclass
class _Endpoint:
    """Actual state of one endpoint.

    ``announced_to`` is the router that got the latest announcement. ``is_leaving_lost`` means
    that the only router with the leaving announcement restarted before it could forward it,
    and the endpoint has not announced it again.
    """

    name: str
    incarnation: int = 1
    running: bool = True
    started_at: float = 0.0
    leaving_at: float | None = None
    announced_to: str = ""
    is_leaving_lost: bool = False
    announced_at: float = 0.0
    next_announcement_at: float = 0.0


class _World:
    """Endpoints that announce themselves to random routers, and routers with injected faults."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.fleet = EndpointFleet(6, seed=seed)
        self.network = self.fleet.network
        self.network.drop = 0.1
        self.network.duplicate = 0.1
        self.network.delay_s = (0.001, 0.05)
        self.endpoints = [_Endpoint(f"e-{index}") for index in range(5)]
        self.incarnations = dict.fromkeys(self.fleet.names, 1)
        self.healed_at = 0.0
        self.is_cut = False
        self.quiet_since = 0.0
        self.newest: dict[tuple[str, str], int] = {}

    def step(self) -> None:
        if self.source.random() < 0.08:
            action = self.source.choice(
                [self.cut, self.heal, self.heal, self.stop, self.leave, self.revive]
                + [self.revive, self.restart_router, self.announce_zombie]
            )
            action()
        for endpoint in self.endpoints:
            if endpoint.running and self.network.now >= endpoint.next_announcement_at:
                self.announce(endpoint)
        self.network.run_for(0.25)

    def announce(self, endpoint: _Endpoint) -> None:
        endpoint.next_announcement_at = self.network.now + 1.5
        endpoint.announced_at = self.network.now
        changes = {"incarnation": endpoint.incarnation, "lease_s": LEASE_S}
        if endpoint.leaving_at is not None:
            changes["state"] = LEAVING
        endpoint.announced_to = self.source.choice(self.fleet.names)
        endpoint.is_leaving_lost = False
        self.fleet.announce(endpoint.announced_to, make_announcement(endpoint.name, **changes))

    def announce_zombie(self) -> None:
        endpoint = self.source.choice(self.endpoints)
        old = make_announcement(
            endpoint.name, incarnation=endpoint.incarnation - 1, lease_s=LEASE_S
        )
        router = self.source.choice(self.fleet.names)
        if endpoint.incarnation > 1 and (router, endpoint.name) in self.newest:
            self.fleet.announce(router, old)

    def cut(self) -> None:
        size = self.source.randrange(1, 4)
        group = self.source.sample(self.fleet.names, size)
        self.network.cut(group, [name for name in self.fleet.names if name not in group])
        self.is_cut = True

    def heal(self) -> None:
        self.network.heal()
        if self.is_cut:
            self.is_cut = False
            self.healed_at = self.network.now

    def stop(self) -> None:
        self.source.choice(self.endpoints).running = False

    def leave(self) -> None:
        endpoint = self.source.choice(self.endpoints)
        if endpoint.running and endpoint.leaving_at is None:
            endpoint.leaving_at = self.network.now
            self.announce(endpoint)

    def revive(self) -> None:
        endpoint = self.source.choice(self.endpoints)
        if endpoint.running and endpoint.leaving_at is None:
            return
        endpoint.running = True
        endpoint.leaving_at = None
        endpoint.incarnation += 1
        endpoint.started_at = self.network.now
        self.announce(endpoint)

    def restart_router(self) -> None:
        name = self.source.choice(self.fleet.names)
        self.incarnations[name] += 1
        for endpoint in self.endpoints:
            is_recent = self.network.now - endpoint.announced_at < PROPAGATION_S
            endpoint.is_leaving_lost |= endpoint.announced_to == name and is_recent
        self.fleet.start(name, incarnation=self.incarnations[name])
        self.newest = {key: value for key, value in self.newest.items() if key[0] != name}
        if not self.is_cut:
            self.healed_at = self.network.now

    def get_connected_s(self) -> float:
        return 0.0 if self.is_cut else self.network.now - self.healed_at


class EndpointFuzzTest(unittest.TestCase):
    def test_against_the_oracle(self) -> None:
        """Endpoints stop, leave and restart while routers are partitioned and restarted.

        In any order of these events, a leaving endpoint is unavailable on connected routers
        after ``PROPAGATION_S``, and a stopped one on all routers at the end of its lease. An
        older incarnation never returns, and a live endpoint is listed once the network
        has healed.
        """
        for seed in range(12):
            with self.subTest(seed=seed):
                world = _World(seed)
                for _ in range(480):
                    world.step()
                    for router in world.fleet.names:
                        self.check(world, router)
                for name in world.fleet.names:
                    self.assertLessEqual(world.fleet.find_max_bytes_per_s(name), 4096)

    def check(self, world: _World, router: str) -> None:
        listed = {s.endpoint_id: s for s in world.fleet.registries[router].list_endpoints(SERVICE)}
        now = world.network.now
        for endpoint in world.endpoints:
            state = listed.get(endpoint.name)
            place = (router, endpoint, now)
            settled_s = min(world.get_connected_s(), now - endpoint.started_at)
            if endpoint.running and endpoint.leaving_at is None and settled_s > SETTLE_S:
                self.assertIsNotNone(state, place)
                self.assertEqual(state.incarnation, endpoint.incarnation, place)
                self.assertIsNot(state.availability, Availability.LEAVING, place)
            if state is None:
                continue
            self.assertLess(now, endpoint.announced_at + LEASE_S + SLACK_S, place)
            newest = world.newest.get((router, endpoint.name), 0)
            self.assertGreaterEqual(state.incarnation, newest, place)
            world.newest[router, endpoint.name] = state.incarnation
            if endpoint.leaving_at is None or state.incarnation < endpoint.incarnation:
                continue
            leaving_s = now - endpoint.leaving_at
            is_propagated = not endpoint.is_leaving_lost and world.get_connected_s() > HEALED_S
            if leaving_s > (PROPAGATION_S if is_propagated else LEASE_S + SLACK_S):
                self.assertIs(state.availability, Availability.LEAVING, place)

"""How many endpoints reach many routers over a slow link of their replica."""

import unittest

from chivetrack.components.announcements.models import EndpointState
from chivetrack.components.announcements.packing import pack_records
from chivetrack.components.distribution.const import (
    BULK_BYTES_PER_S,
    MAX_SEND_AHEAD_S,
    RESEND_AFTER_S,
)
from chivetrack.components.distribution.endpoint_feed import EndpointProgress
from chivetrack.components.distribution.messages import EndpointUpdate, Follow, View
from chivetrack.components.distribution.placements import MAX_PLACEMENTS
from tests.components.announcements.test_packing import make_fleet
from tests.components.announcements.test_table import make_record
from tests.components.distribution.links import Fleet
from tests.components.distribution.world import Fixture, make_assigned_follow

ENDPOINTS = 3000
# Routers assigned to one of five replicas in fleets of 295 and 380 routers.
SIZES = (59, 76)
MAX_LINK_WAIT_S = 0.3
RESTART_S = 2.5
"""Part of the 3 s within which callers expect service again; the process start takes the rest."""


class StartTest(unittest.TestCase):
    def test_log_does_not_wait_behind_endpoints(self) -> None:
        """Guards against a fleet whose start keeps its first configuration from a quorum."""
        for routers in SIZES:
            with self.subTest(routers=routers):
                fleet = Fleet(routers=routers)
                fleet.announce(ENDPOINTS, within_s=1.2)
                fleet.run_until(6.0)
                self.assertEqual(set(fleet.count_known()), {ENDPOINTS})
                self.assertLess(fleet.link.longest_wait_s, MAX_LINK_WAIT_S)

    def test_restarted_routers_get_endpoints_in_time(self) -> None:
        """Guards against routers that refuse requests for seconds after all were killed."""
        for routers in SIZES:
            with self.subTest(routers=routers):
                fleet = Fleet(routers=routers)
                fleet.announce(ENDPOINTS, within_s=0.1)
                fleet.run_until(8.0)
                fleet.place(MAX_PLACEMENTS)
                fleet.run_until(10.0)
                fleet.restart_routers()
                fleet.run_until(10.0 + RESTART_S)
                self.assertEqual(set(fleet.count_known()), {ENDPOINTS})

    def test_departures_of_a_third_reach_all_routers_in_time(self) -> None:
        """Guards against requests sent to endpoints that left seconds before."""
        fleet = Fleet(routers=SIZES[0])
        fleet.announce(ENDPOINTS, within_s=0.1)
        fleet.run_until(8.0)
        before = fleet.link.sent_bytes
        for record in make_fleet(ENDPOINTS)[:1000]:
            fleet.table.close(record.endpoint_id, born=record.born, now=fleet.now)
        fleet.run_until(10.0)
        left = [
            sum(record.state is EndpointState.LEFT for record in router.table.list_records())
            for router in fleet.known.values()
        ]
        self.assertEqual(set(left), {1000})
        self.assertLess(fleet.link.sent_bytes - before, 2 * 525_000)

    def test_lost_messages_are_sent_again(self) -> None:
        """Guards against routers that lack endpoints permanently after a lost update."""
        fleet = Fleet(routers=SIZES[0], lost_share=0.2)
        fleet.announce(ENDPOINTS, within_s=1.2)
        fleet.run_until(15.0)
        self.assertEqual(set(fleet.count_known()), {ENDPOINTS})

    def test_killed_relays_do_not_keep_the_table_from_others(self) -> None:
        """Guards against routers without endpoints after their relays were killed."""
        fleet = Fleet(routers=SIZES[0])
        fleet.announce(ENDPOINTS, within_s=0.1)
        fleet.run_until(0.4)
        for number in range(0, SIZES[0], 3):
            fleet.known[f"r{number}"].is_down = True
        fleet.run_until(10.0)
        known = {
            len(list(router.table.list_records()))
            for router in fleet.known.values()
            if not router.is_down
        }
        self.assertEqual(known, {ENDPOINTS})

    def test_router_that_no_other_reaches_gets_changes_from_the_replica(self) -> None:
        """Guards against a router that misses a departure because its relay can't reach it."""
        fleet = Fleet(routers=SIZES[0])
        fleet.announce(ENDPOINTS, within_s=0.1)
        fleet.run_until(8.0)
        fleet.unreachable = {f"r{number}" for number in range(0, SIZES[0], 2)}
        for record in make_fleet(ENDPOINTS)[:300]:
            fleet.table.close(record.endpoint_id, born=record.born, now=fleet.now)
        fleet.run_until(10.5)
        for router in fleet.known.values():
            left = [
                record
                for record in router.table.list_records()
                if record.state is EndpointState.LEFT
            ]
            self.assertEqual(len(left), 300)


class ProgressTest(unittest.TestCase):
    def test_lost_update_is_sent_again_while_changes_go_on(self) -> None:
        """Guards against a router that lacks an endpoint while other endpoints keep changing."""
        progress = EndpointProgress()
        for step in range(1, 20):
            now = 0.25 * step
            progress.record_sent(step, arrives_at=now)
            progress.confirm(0, now=now + 0.1)
            if progress.sent == 0:
                self.assertLessEqual(now, 2 * RESEND_AFTER_S)
                return
        self.fail("the lost changes are never sent again")


class OtherReplicaTest(unittest.TestCase):
    def make_fixture(self) -> Fixture:
        fixture = Fixture()
        for record in make_fleet(ENDPOINTS):
            fixture.table.merge(record, now=0.0)
        fixture.table.close(make_fleet(ENDPOINTS)[7].endpoint_id, born=None, now=0.0)
        return fixture

    def take_update(self, fixture: Fixture, follow: Follow, now: float) -> EndpointUpdate:
        fixture.publisher.handle_follow(follow, now=now)
        updates = [effect.message for effect in fixture.publisher.send_round(now=now)]
        (update,) = updates
        assert isinstance(update, EndpointUpdate)
        return update

    def test_other_replicas_send_only_departures(self) -> None:
        """Guards against a whole table sent to a router by every replica that it polls."""
        fixture = self.make_fixture()
        follow = Follow(router="r1", run="", change=0, version=0)
        update = self.take_update(fixture, follow, 0.0)
        self.assertTrue(update.is_partial)
        self.assertLess(len(update.payload), 500)
        fixture.subscriber.handle_endpoints(update, now=0.1)
        (left,) = fixture.own.list_records()
        self.assertIs(left.state, EndpointState.LEFT)

    def test_newly_assigned_replica_sends_the_whole_table(self) -> None:
        """Guards against a router that gets only departures from its newly assigned replica."""
        fixture = self.make_fixture()
        follow = Follow(router="r1", run="", change=0, version=0)
        update = self.take_update(fixture, follow, 0.0)
        fixture.subscriber.handle_endpoints(update, now=0.1)
        now = 1.0
        assigned = fixture.follow(now)
        self.assertTrue(assigned.is_assigned and assigned.is_partial)
        update = self.take_update(fixture, assigned, now)
        self.assertFalse(update.is_partial)
        fixture.subscriber.handle_endpoints(update, now=now)
        self.assertEqual(len(list(fixture.own.list_records())), ENDPOINTS)
        self.assertFalse(fixture.follow(2.0).is_partial)

    def test_table_older_than_the_departures(self) -> None:
        """Guards against endpoints that a router never gets after a table and newer departures."""
        fixture = self.make_fixture()
        follow = Follow(router="r1", run="", change=0, version=0)
        table = self.take_update(fixture, make_assigned_follow("r2"), 0.0)
        fixture.table.merge(make_record(1, endpoint_id="new"), now=0.3)
        departures = self.take_update(fixture, follow, 0.3)
        for order in ((departures, table), (table, departures)):
            router = Fixture()
            for update in order:
                router.subscriber.handle_endpoints(update, now=0.4)
            known = router.follow(0.5)
            self.assertFalse(known.is_partial)
            self.assertEqual(known.change, table.change)

    def test_router_of_a_small_fleet_knows_all_endpoints_at_once(self) -> None:
        """Guards against requests that wait for a round after all instances were killed."""
        fixture = Fixture()
        for record in make_fleet(64):
            fixture.table.merge(record, now=0.0)
        (answer,) = fixture.publisher.handle_follow(make_assigned_follow("r1"), now=0.0)
        assert isinstance(answer.message, View)
        self.assertEqual(len(answer.message.records), 64)
        self.assertFalse(answer.message.is_pending)

    def test_stopping_router_forwards_nothing(self) -> None:
        """Guards against updates lost with a stopping router that should have forwarded them."""
        fixture = self.make_fixture()
        for number in range(60):
            follow = make_assigned_follow(f"r{number}", is_stopping=number < 30)
            fixture.publisher.handle_follow(follow, now=0.0)
        relays = []
        for step in range(8):
            for sent in fixture.publisher.send_round(now=step * 0.125):
                assert isinstance(sent.message, EndpointUpdate)
                relays += [sent.target] if sent.message.forward_to else []
        self.assertGreater(len(relays), 3)
        self.assertTrue(all(int(sent[1:]) >= 30 for sent in relays), relays)

    def test_whole_tables_go_before_departures(self) -> None:
        """Guards against routers without a table while others get useless departures."""
        fixture = self.make_fixture()
        for number in range(200):
            follow = Follow(router=f"o{number}", run="", change=0, version=0)
            fixture.publisher.handle_follow(follow, now=0.0)
        fixture.publisher.handle_follow(make_assigned_follow("r1"), now=0.0)
        first, *_ = (effect.message for effect in fixture.publisher.send_round(now=0.0))
        assert isinstance(first, EndpointUpdate)
        self.assertFalse(first.is_partial)

    def test_rounds_keep_to_the_rate_limit(self) -> None:
        """Guards against socket buffers full of endpoints, which the log can't overtake."""
        fixture = self.make_fixture()
        sent = 0
        for number in range(60):
            fixture.publisher.handle_follow(make_assigned_follow(f"r{number}"), now=0.0)
        for step in range(8):
            for effect in fixture.publisher.send_round(now=step * 0.125):
                assert isinstance(effect.message, EndpointUpdate)
                sent += len(effect.message.payload)
        largest = len(pack_records(fixture.table.list_records()))
        self.assertLessEqual(sent, BULK_BYTES_PER_S * (1.0 + MAX_SEND_AHEAD_S) + largest)


if __name__ == "__main__":
    unittest.main()

"""Membership under crashes, partitions, lossy links, freezes and restarts."""

import random
import unittest

from chivetrack.components.gossip.const import PROBE_BURST_S, PROBE_SHARE
from chivetrack.components.gossip.models import Delta, Entry, GossipFrame, Urgency
from chivetrack.components.membership.const import TOPIC_VERDICT
from chivetrack.components.membership.models import InstanceStatus
from chivetrack.components.membership.wire import Verdict, WitnessAnswer, WitnessRequest
from chivetrack.core import MessageReceived, TimeReached
from chivetrack.helpers.codec import encode
from tests.components.membership.fleet import MembershipFleet

ALIVE, DEAD, LEFT = InstanceStatus.ALIVE, InstanceStatus.DEAD, InstanceStatus.LEFT


class JoinTest(unittest.TestCase):
    def test_all_meet_from_two_seeds(self) -> None:
        fleet = MembershipFleet([3, 3, 3])
        fleet.network.run_for(10)
        for name in fleet.memberships:
            self.assertEqual(len(fleet.find_viewers(name, ALIVE)), 8, name)

    def test_leaving_is_reported_and_no_one_is_declared_dead(self) -> None:
        fleet = MembershipFleet([3, 3, 3])
        fleet.network.run_for(10)
        fleet.memberships["kyushu-0-2"].leave(now=fleet.network.now)
        fleet.network.run_for(1)
        fleet.network.kill("kyushu-0-2")
        self.assertEqual(len(fleet.find_viewers("kyushu-0-2", LEFT)), 8)
        fleet.network.run_for(30)
        self.assertEqual(fleet.list_reported_dead(), set())

    def test_a_dead_instance_is_removed_in_the_end(self) -> None:
        fleet = MembershipFleet([2, 2])
        fleet.network.run_for(10)
        fleet.network.kill("kyushu-1-1")
        del fleet.memberships["kyushu-1-1"]
        fleet.network.run_for(180)
        self.assertEqual(fleet.find_viewers("kyushu-1-1", None), list(fleet.memberships))


class DeathTest(unittest.TestCase):
    def test_the_dead_are_found_in_bounded_time(self) -> None:
        """One router, two routers or a whole zone crash; in one case frames are lost.

        Until they are declared dead, peers spend part of their traffic budget on them. All
        survivors must declare exactly these routers dead within 10 seconds.
        """
        cases = {
            "one": (["kyushu-0-0"], 0.0),
            "two": (["kyushu-0-0", "kyushu-1-1"], 0.0),
            "a zone": (["kyushu-2-0", "kyushu-2-1", "kyushu-2-2"], 0.0),
            "one, a tenth lost": (["kyushu-1-2"], 0.1),
        }
        for name, (dead, drop) in cases.items():
            for seed in range(3):
                with self.subTest(name, seed=seed):
                    fleet = MembershipFleet([3, 3, 3], seed=seed)
                    fleet.network.run_for(10)
                    fleet.network.drop = drop
                    for victim in dead:
                        fleet.network.kill(victim)
                        del fleet.memberships[victim]
                    fleet.network.run_for(10)
                    for victim in dead:
                        viewers = fleet.find_viewers(victim, DEAD)
                        self.assertEqual(viewers, list(fleet.memberships), victim)
                    self.assertEqual(fleet.list_reported_dead(), set(dead))

    def test_a_restarted_router_is_alive_again_at_once(self) -> None:
        fleet = MembershipFleet([3, 3, 3])
        fleet.network.run_for(10)
        fleet.network.kill("kyushu-0-0")
        fleet.network.run_for(10)
        self.assertEqual(len(fleet.find_viewers("kyushu-0-0", DEAD)), 8)
        fleet.start("kyushu-0-0", incarnation=2)
        fleet.network.run_for(5)
        self.assertEqual(len(fleet.find_viewers("kyushu-0-0", ALIVE)), 8)

    def test_a_dead_router_returns_although_the_publishers_restarted(self) -> None:
        """A cut-off router is declared dead; the publishers of the verdict restart.

        Their verdict is gone from gossip, so the router never sees what it has to refute,
        and the others would regard it as dead for ever. They must notify it directly.
        """
        fleet = MembershipFleet([3, 3, 3])
        fleet.network.run_for(10)
        others = [name for name in fleet.memberships if name != "kyushu-1-0"]
        fleet.network.cut(["kyushu-1-0"], others)
        fleet.network.run_for(10)
        dead = [
            (viewer, reported) for _, viewer, reported in fleet.reported if reported.status is DEAD
        ]
        accusers = {
            viewer for viewer, reported in dead if reported.reason.startswith("silent here")
        }
        self.assertLess(len(accusers), 8)
        for name in accusers:
            fleet.start(name, incarnation=2)
        fleet.network.run_for(1)
        fleet.network.heal()
        fleet.network.run_for(12)
        self.assertEqual(len(fleet.find_viewers("kyushu-1-0", ALIVE)), 8)


class FalseAccusationTest(unittest.TestCase):
    def check_no_one_dead(self, fleet: MembershipFleet) -> None:
        self.assertEqual(fleet.list_reported_dead(), set())
        for name in fleet.memberships:
            self.assertEqual(len(fleet.find_viewers(name, ALIVE)), len(fleet.memberships) - 1)

    def test_failed_links_declare_no_one_dead(self) -> None:
        """Links between two routers fail, one way or both, up to three at a time.

        A router behind a failed link looks silent only until a third router relays its
        heartbeats; a witness that reaches it ends the suspicion.
        """
        for seed in range(6):
            with self.subTest(seed=seed):
                fleet = MembershipFleet([3, 3, 3], seed=seed)
                fleet.network.run_for(10)
                source = random.Random(seed)
                for _ in range(6):
                    fleet.network.heal()
                    for _ in range(source.randrange(1, 4)):
                        left, right = source.sample(list(fleet.memberships), 2)
                        one_way = source.random() < 0.5
                        fleet.network.cut([left], [right], one_way=one_way)
                    fleet.network.run_for(8)
                fleet.network.heal()
                fleet.network.run_for(5)
                self.check_no_one_dead(fleet)

    def test_a_router_without_relayed_heartbeats_is_reached_by_a_witness(self) -> None:
        """Gossip about one router stops, as if displaced by other data; one link is cut.

        All others find the router silent, and the one behind the cut link can't probe it
        either. Without witnesses, one failed link would declare a live router dead.
        """
        fleet = MembershipFleet([2, 2, 2])
        fleet.network.run_for(10)
        fleet.network.cut(["kyushu-0-0"], ["kyushu-1-0"])
        for gossip in fleet.gossips.values():
            known = gossip.get_last_seen
            gossip.get_last_seen = lambda o, known=known: None if o == "kyushu-1-0" else known(o)
        fleet.network.run_for(20)
        suspected = [i for _, _, i in fleet.reported if i.status is InstanceStatus.SUSPECT]
        self.assertGreater(len(suspected), 8)
        self.assertEqual(fleet.list_reported_dead(), set())

    def test_a_later_heartbeat_overrides_a_verdict(self) -> None:
        """A verdict of 5 s ago arrives about a router that has sent a heartbeat since."""
        fleet = MembershipFleet([2, 2])
        fleet.network.run_for(10)
        target, viewer, now = "kyushu-1-1", "kyushu-0-0", fleet.network.now
        payload = encode(Verdict(target, 1, 0, ("kyushu-0-1",)))
        entry = Entry(TOPIC_VERDICT, target, 999, int(Urgency.LEAVING), 5000, payload)
        frame = GossipFrame(1, round(now * 1000), (Delta("kyushu-1-0", 1, 0, (entry,)),))
        event = MessageReceived(source="kyushu-1-0", message=frame)
        fleet.gossips[viewer].handle(event, now=now)
        self.assertIs(fleet.get_status(viewer, target), ALIVE)

    def test_a_witness_without_budget_denies_nothing(self) -> None:
        """A witness whose traffic budget is spent can't send the requested probe."""
        fleet = MembershipFleet([2, 2])
        fleet.network.run_for(10)
        witness, now = "kyushu-0-0", fleet.network.now
        budget = fleet.gossips[witness].budget
        while budget.charge(0, now):
            pass
        fleet.gossips[witness].get_direct_contact = lambda sender: None
        event = MessageReceived(source="kyushu-0-1", message=WitnessRequest(1, "kyushu-1-1"))
        membership = fleet.memberships[witness]
        effects = membership.handle(event, now=now)
        effects += membership.handle(TimeReached(), now=now + 1.1)
        answers = [e for e in effects if isinstance(getattr(e, "message", None), WitnessAnswer)]
        self.assertEqual(answers, [])

    def test_a_cut_off_router_declares_no_one_dead(self) -> None:
        """One router is cut off for 30 s, so that all others are silent to it.

        It must detect that it is cut off itself. The others declare it dead; after the
        cut is healed, it refutes the verdict and is alive again.
        """
        fleet = MembershipFleet([3, 3, 3])
        fleet.network.run_for(10)
        others = [name for name in fleet.memberships if name != "kyushu-0-0"]
        fleet.network.cut(["kyushu-0-0"], others)
        fleet.network.run_for(30)
        self.assertTrue(fleet.memberships["kyushu-0-0"].is_isolated)
        self.assertEqual(fleet.list_reported_dead(), {"kyushu-0-0"})
        fleet.network.heal()
        fleet.network.run_for(12)
        self.assertFalse(fleet.memberships["kyushu-0-0"].is_isolated)
        for name in fleet.memberships:
            self.assertEqual(len(fleet.find_viewers(name, ALIVE)), 8, name)

    def test_the_smaller_side_of_a_cut_declares_no_one_dead(self) -> None:
        fleet = MembershipFleet([3, 3, 3])
        fleet.network.run_for(10)
        cut = [name for name in fleet.memberships if fleet.zone_of[name] == "kyushu-zone-2"]
        rest = [name for name in fleet.memberships if name not in cut]
        fleet.network.cut(cut, rest)
        fleet.network.run_for(20)
        self.assertEqual(fleet.list_reported_dead(), set(cut))
        fleet.network.heal()
        fleet.network.run_for(15)
        for name in fleet.memberships:
            self.assertEqual(len(fleet.find_viewers(name, ALIVE)), 8, name)

    def test_a_frozen_router_declares_no_one_dead_on_waking(self) -> None:
        """A router is frozen for 3 or 20 s and continues.

        All others have been silent to it, and they may have declared it dead. It must
        suspect no one on waking, and refute the verdict if it was declared dead.
        """
        for seconds in (3, 20):
            for seed in range(4):
                with self.subTest(seconds=seconds, seed=seed):
                    fleet = MembershipFleet([3, 3, 3], seed=seed)
                    fleet.network.run_for(10)
                    fleet.network.freeze("kyushu-1-1")
                    fleet.network.run_for(seconds)
                    fleet.network.thaw("kyushu-1-1")
                    fleet.network.run_for(0.05)
                    self.assertFalse(fleet.memberships["kyushu-1-1"].is_isolated)
                    fleet.network.run_for(4)
                    self.assertLessEqual(fleet.list_reported_dead(), {"kyushu-1-1"})
                    for name in fleet.memberships:
                        self.assertEqual(len(fleet.find_viewers(name, ALIVE)), 8, name)


class StartTest(unittest.TestCase):
    def test_many_that_start_together_declare_no_one_dead(self) -> None:
        """18 routers start at once, each with load counts, as after a power failure.

        All exchange their records within a budget of 4 KB/s, which delays heartbeats.
        Suspicions would cause probes, which displace more heartbeats, in a feedback loop:
        live routers would be declared dead and no updates be delivered.
        """
        fleet = MembershipFleet([6, 6, 6])
        for step in range(300):
            for gossip in fleet.gossips.values():
                gossip.publish("load", "", bytes(30), Urgency.LOAD, now=fleet.network.now)
            fleet.network.run_for(0.1)
            if step == 150:
                fleet.network.sent.clear()
        self.assertEqual(fleet.list_reported_dead(), set())
        for name in fleet.memberships:
            self.assertEqual(len(fleet.find_viewers(name, ALIVE)), 17, name)
        probes = [sent for sent in fleet.network.sent if sent.kind != "gossip.frame"]
        self.assertLess(len(probes), len(fleet.network.sent) / 20)

    def test_probes_keep_to_their_share(self) -> None:
        """Half of the routers die at once; the others suspect them all at the same time."""
        fleet = MembershipFleet([4, 4])
        fleet.network.run_for(20)
        dead = [name for name in fleet.memberships if name.endswith(("2", "3"))]
        for name in dead:
            fleet.network.kill(name)
        fleet.network.sent.clear()
        fleet.network.run_for(10)
        for name in set(fleet.memberships) - set(dead):
            kinds = ("membership.ping", "membership.witness-request")
            probes = [s for s in fleet.network.sent if s.source == name and s.kind in kinds]
            spent = sum(sent.charged_bytes for sent in probes)
            self.assertLessEqual(spent, 4096 * PROBE_SHARE * (10 + PROBE_BURST_S), name)


class RegionsTest(unittest.TestCase):
    def test_regions_know_one_summary_of_each_other(self) -> None:
        fleet = MembershipFleet([2, 2])
        for name in fleet.add_region("delta", [2, 1]):
            fleet.start(name, incarnation=1)
        fleet.network.run_for(40)
        for name, membership in fleet.memberships.items():
            region = fleet.region_of[name]
            self.assertEqual({i.region for i in membership.list_instances()}, {region}, name)
            summaries = membership.list_regions(now=fleet.network.now)
            expected = {"kyushu": ("delta", 3), "delta": ("kyushu", 4)}[region]
            self.assertEqual([(s.region, s.routers) for s in summaries], [expected], name)
            contact = summaries[0].contacts[0].instance_id
            self.assertIsNotNone(membership.find_address(contact, now=fleet.network.now))

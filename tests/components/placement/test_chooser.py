"""Tests for the choice of endpoints by cached prompts, load and distance."""

import unittest
from random import Random
from typing import Any

import msgspec

from chivetrack.components.distribution.messages import EndpointLoad, PlacedPart
from chivetrack.components.placement.choice import Candidate, Choice, Source
from chivetrack.components.placement.chooser import Chooser, find_bound
from chivetrack.components.placement.loads import LoadTable
from chivetrack.components.placement.parts import MIN_REPORTED_TOKENS, USABLE_SHARE, PartTracker
from chivetrack.components.placement.placement import Placement
from chivetrack.components.placement.weights import HOMES
from chivetrack.components.traffic.models import EngineProfile, Service
from chivetrack.components.traffic.requests import PromptPart, RequestFacts
from tests.components.announcements.test_table import make_record

ENGINE = Service(name="llm", engine=EngineProfile(slots=64, memory_tokens=500_000))
FETCHING = Service(
    name="llm", engine=EngineProfile(slots=64, memory_tokens=500_000, can_fetch=True)
)
PLAIN = Service(name="portal")


def make_facts(dossier: str = "d1", own: str = "o1") -> RequestFacts:
    parts = (PromptPart("system", 512), PromptPart(dossier, 10_000), PromptPart(own, 1_300))
    return RequestFacts(request_id="q", parts=parts, prompt_tokens=11_812)


class World:
    """Six engines in three zones, and the chooser of a router in zone z0."""

    def __init__(self) -> None:
        self.loads = LoadTable()
        self.parts = PartTracker()
        self.chooser = Chooser(zone="z0", loads=self.loads, parts=self.parts)
        self.candidates = [
            Candidate(
                record=make_record(
                    endpoint_id=f"e{n}", zone=f"z{n % 3}", slots=6, address=f"127.0.0.{n}:80"
                )
            )
            for n in range(6)
        ]

    def choose(self, facts: RequestFacts, service: Service = ENGINE, **extra: Any) -> Choice:
        choice = self.chooser.choose(
            extra.get("candidates", self.candidates),
            service=service,
            facts=facts,
            now=0.0,
            sources=extra.get("sources", ()),
            routers=extra.get("routers", 1),
            resting=extra.get("resting", ()),
        )
        assert choice is not None
        return choice

    def send(self, facts: RequestFacts) -> Choice:
        choice = self.choose(facts)
        endpoint_id = choice.record.endpoint_id
        self.loads.start(endpoint_id, choice.missing_tokens)
        self.parts.record_sent(endpoint_id, facts.parts, now=0.0, capacity=500_000)
        return choice


class ChooserTest(unittest.TestCase):
    def test_routers_agree_on_a_prompt_that_is_cached_nowhere(self) -> None:
        """Routers get requests for the same new dossier at the same moment.

        No router knows of the others' requests. Chosen by load alone, 10,000 tokens would be
        read at several engines. All must choose the same home, whatever its zone.
        """
        for dossier in ("d1", "d2", "d3", "d4"):
            homes = set()
            for zone in ("z0", "z1", "z2"):
                world = World()
                world.chooser = Chooser(zone=zone, loads=world.loads, parts=world.parts)
                homes.add(world.choose(make_facts(dossier)).record.endpoint_id)
            self.assertEqual(len(homes), 1, dossier)

    def test_returning_dossier_goes_to_the_engine_that_read_it(self) -> None:
        world = World()
        first = world.send(make_facts(own="o1"))
        again = world.send(make_facts(own="o2"))
        self.assertEqual(again.record, first.record)
        self.assertEqual(again.missing_tokens, 1_300)

    def test_dossier_that_all_requests_share(self) -> None:
        """One dossier gets all the traffic for seconds.

        Its engine would hold all requests, and each would wait for the others. No engine may
        exceed the bound relative to the mean, so more engines read the dossier.
        """
        world = World()
        counts: dict[str, int] = {}
        for number in range(60):
            choice = world.send(make_facts(own=f"o{number}"))
            endpoint_id = choice.record.endpoint_id
            counts[endpoint_id] = counts.get(endpoint_id, 0) + 1
            self.assertLessEqual(max(counts.values()), 2 * number / 6 + 3)
        self.assertGreaterEqual(len(counts), 4)

    def test_dossier_is_fetched_from_a_leaving_engine(self) -> None:
        """The engine that has a dossier cached is leaving and gets no new work.

        Reading the dossier again would take 185 ms at another engine. The chosen engine
        fetches it from the leaving one, which still answers.
        """
        world = World()
        first = world.send(make_facts(own="o1")).record
        remaining = [candidate for candidate in world.candidates if candidate.record is not first]
        sources = [Source(record=candidate.record) for candidate in world.candidates]
        choice = world.choose(make_facts(own="o2"), FETCHING, candidates=remaining, sources=sources)
        self.assertEqual(choice.fetch_from, first.address)
        self.assertEqual(choice.missing_tokens, 1_300)
        plain = world.choose(make_facts(own="o2"), candidates=remaining, sources=sources)
        self.assertEqual(plain.fetch_from, "")

    def test_parts_are_fetched_from_the_same_version_only(self) -> None:
        """Guards against an engine that goes on from memory which another version wrote.

        The engine that has the dossier is of another version, or of an unknown one: nothing tells
        that what it sends fits.
        """
        facts = make_facts()
        for software in ("v2", ""):
            with self.subTest(software):
                world = World()
                first, *others = [one.record for one in world.candidates]
                holder = msgspec.structs.replace(first, software=software)
                world.parts.record_sent(
                    holder.endpoint_id, facts.shared_parts, now=0.0, capacity=500_000
                )
                sources = [Source(record=one) for one in (holder, *others)]
                candidates = [Candidate(record=one) for one in others]
                choice = world.choose(facts, FETCHING, candidates=candidates, sources=sources)
                self.assertNotEqual(choice.fetch_from, holder.address)
                sources[0] = Source(record=first)
                choice = world.choose(facts, FETCHING, candidates=candidates, sources=sources)
                self.assertEqual(choice.fetch_from, first.address)

    def test_engine_of_an_unknown_version_fetches_nothing(self) -> None:
        """Guards against two unknown versions that are taken for the same one."""
        facts = make_facts()
        world = World()
        unknown = [msgspec.structs.replace(one.record, software="") for one in world.candidates]
        world.parts.record_sent("e0", facts.shared_parts, now=0.0, capacity=500_000)
        choice = world.choose(
            facts,
            FETCHING,
            candidates=[Candidate(record=one) for one in unknown[1:]],
            sources=[Source(record=one) for one in unknown],
        )
        self.assertEqual(choice.fetch_from, "")

    def test_new_home_fetches_from_the_previous_home(self) -> None:
        """An engine joins and becomes the home of a dossier that another engine has cached.

        Placements at the previous home were not reported, since all routers expected them
        there. A router that never sent the dossier must have the new home fetch it from the
        previous one.
        """
        world = World()
        names = [candidate.record.endpoint_id for candidate in world.candidates]
        for number in range(20):
            facts = make_facts(f"d{number}")
            home = world.choose(facts, FETCHING).record
            sources = [
                Source(record=candidate.record, is_new=candidate.record is home)
                for candidate in world.candidates
            ]
            choice = world.choose(facts, FETCHING, sources=sources)
            self.assertIn(choice.record.endpoint_id, names)
            if choice.record is home:
                self.assertNotEqual(choice.fetch_from, "")
                self.assertNotEqual(choice.fetch_from, home.address)

    def test_many_routers_keep_a_prompt_at_its_homes(self) -> None:
        """87 routers in three zones get prompts of 700 shared tokens without any reports.

        Each router sees the load of the 30 engines at a different time. If each chose the
        least loaded or nearest engine, a prompt would soon be cached at twenty engines that no
        router knows, and most fetches would address an engine that has never read it.
        """
        random = Random(7)
        engines = [
            Candidate(record=make_record(endpoint_id=f"e{n}", zone=f"z{n % 3}", address=f"a{n}:1"))
            for n in range(30)
        ]
        places: dict[str, set[str]] = {}
        for number in range(1500):
            loads = LoadTable()
            reports = [
                EndpointLoad(endpoint_id=engine.record.endpoint_id, running=random.randrange(8, 14))
                for engine in engines
            ]
            loads.handle_other_loads(reports, now=0.0)
            chooser = Chooser(zone=f"z{number % 3}", loads=loads, parts=PartTracker())
            key = f"s{number % 50}"
            parts = (PromptPart(key, 700), PromptPart(f"o{number}", 130))
            choice = chooser.choose(
                engines,
                service=FETCHING,
                facts=RequestFacts(request_id="q", parts=parts, prompt_tokens=830),
                now=0.0,
                routers=87,
            )
            assert choice is not None
            places.setdefault(key, set()).add(choice.record.endpoint_id)
        self.assertLessEqual(max(len(engine_ids) for engine_ids in places.values()), HOMES)

    def test_few_routers_keep_a_prompt_at_its_homes_too(self) -> None:
        """Nine routers choose among six engines by load reports that are half a second old.

        The nearest or least loaded engine differs from router to router.
        """
        random = Random(5)
        for dossier in ("d1", "d2", "d3"):
            places = set()
            for number in range(60):
                world = World()
                world.chooser = Chooser(zone=f"z{number % 3}", loads=world.loads, parts=world.parts)
                reports = [
                    EndpointLoad(endpoint_id=f"e{n}", running=random.randrange(5, 9))
                    for n in range(6)
                ]
                world.loads.handle_other_loads(reports, now=0.0)
                parts = (PromptPart(dossier, 700), PromptPart("o", 130))
                facts = RequestFacts(request_id="q", parts=parts, prompt_tokens=830)
                places.add(world.choose(facts, routers=9).record.endpoint_id)
            self.assertLessEqual(len(places), HOMES)

    def test_prompt_leaves_its_homes_when_they_are_full(self) -> None:
        """All homes of a prompt exceed the bound, and the other engines are idle."""
        world = World()
        facts = make_facts()
        homes = set()
        for _ in range(HOMES):
            remaining = [
                candidate
                for candidate in world.candidates
                if candidate.record.endpoint_id not in homes
            ]
            choice = world.choose(facts, candidates=remaining, routers=87)
            homes.add(choice.record.endpoint_id)
        reports = [EndpointLoad(endpoint_id=endpoint_id, running=20) for endpoint_id in homes]
        world.loads.handle_other_loads(reports, now=0.0)
        choice = world.choose(facts, routers=87)
        self.assertNotIn(choice.record.endpoint_id, homes)

    def test_bound_while_a_zone_gets_nothing(self) -> None:
        """A third of the engines is evacuated; the others hold 20, 20, 20 and 31 requests.

        Operators allow twice the mean of all six, which is 30, plus three. Relative to the
        mean of these four alone, nine routers would load the fullest engine with 40 requests.
        """
        world = World()
        left = [
            Candidate(record=msgspec.structs.replace(candidate.record, slots=64))
            for candidate in world.candidates[:4]
        ]
        loads = [EndpointLoad(f"e{n}", running) for n, running in enumerate((31, 20, 20, 20))]
        world.loads.handle_other_loads(loads, now=0.0)
        facts = make_facts()
        world.parts.record_sent("e0", facts.shared_parts, now=0.0, capacity=500_000)
        resting = [candidate.record.endpoint_id for candidate in world.candidates[4:]]
        within_bound = world.choose(facts, candidates=left, routers=9)
        self.assertEqual(within_bound.record.endpoint_id, "e0")
        over_bound = world.choose(facts, candidates=left, routers=9, resting=resting)
        self.assertNotEqual(over_bound.record.endpoint_id, "e0")

    def test_least_loaded_are_chosen_where_all_exceed_the_bound(self) -> None:
        """Half of the engines are cold and idle; the others hold 60 requests or more each."""
        world = World()
        loads = [EndpointLoad(f"e{n}", running) for n, running in enumerate((61, 62, 70))]
        world.loads.handle_other_loads(loads, now=0.0)
        resting = [candidate.record.endpoint_id for candidate in world.candidates[3:]]
        facts = make_facts()
        world.parts.record_sent("e2", facts.shared_parts, now=0.0, capacity=500_000)
        choice = world.choose(facts, candidates=world.candidates[:3], routers=9, resting=resting)
        self.assertIn(choice.record.endpoint_id, ("e0", "e1"))

    def test_bound_leaves_room_for_requests_not_yet_reported(self) -> None:
        for routers in (1, 9, 87, 380):
            for mean in (0.0, 5.0, 15.0, 60.0):
                self.assertLess(find_bound(mean, routers), 2.0 * mean + 3.0)
        self.assertGreater(find_bound(10.0, 9), find_bound(10.0, 87))

    def test_plain_service_prefers_its_zone_until_it_is_busy(self) -> None:
        world = World()
        facts = RequestFacts(request_id="q")
        near = {"e0", "e3"}
        self.assertIn(world.choose(facts, PLAIN).record.endpoint_id, near)
        for endpoint_id in near:
            for _ in range(3):
                world.loads.start(endpoint_id, 0)
        self.assertNotIn(world.choose(facts, PLAIN).record.endpoint_id, near)

    def test_no_candidates(self) -> None:
        world = World()
        choice = world.chooser.choose([], service=ENGINE, facts=make_facts(), now=0.0)
        self.assertIsNone(choice)


class PartBookTest(unittest.TestCase):
    def test_least_recently_used_parts_are_evicted_first(self) -> None:
        tracker = PartTracker()
        old, new = PromptPart("old", 60), PromptPart("new", 60)
        capacity = int(100 / USABLE_SHARE)
        tracker.record_sent("e", [old], now=0.0, capacity=capacity)
        tracker.record_sent("e", [new], now=1.0, capacity=capacity)
        self.assertEqual(tracker.count_cached("e", [old]), 0)
        self.assertEqual(tracker.count_cached("e", [new]), 60)

    def test_only_the_beginning_of_a_prompt_counts(self) -> None:
        tracker = PartTracker()
        tracker.record_sent("e", [PromptPart("b", 10)], now=0.0, capacity=1000)
        self.assertEqual(tracker.count_cached("e", [PromptPart("a", 5), PromptPart("b", 10)]), 0)

    def test_placements_of_other_routers(self) -> None:
        """A router reports a placement once, and again after the report interval."""
        ours, theirs = PartTracker(), PartTracker()
        part = PromptPart("a", MIN_REPORTED_TOKENS)
        theirs.record_sent(
            "e2", [part], now=10.0, capacity=1000, min_reported_tokens=MIN_REPORTED_TOKENS + 1
        )
        theirs.record_sent("e2", [PromptPart("s", 5)], now=10.0, capacity=1000)
        self.assertEqual(list(theirs.pop_placements(10.0)), [])
        theirs.record_sent("e", [part], now=10.0, capacity=1000)
        (placement,) = theirs.pop_placements(10.5)
        self.assertEqual(placement.age_s, 0.5)
        ours.handle_placements([placement], now=3.0, capacity=1000)
        self.assertEqual(ours.count_cached("e", [part]), MIN_REPORTED_TOKENS)
        self.assertEqual(list(theirs.pop_placements(11.1)), [])
        theirs.record_sent("e", [part], now=12.0, capacity=1000)
        ours.record_sent("e", [part], now=5.0, capacity=1000)
        self.assertEqual([*theirs.pop_placements(12.0), *ours.pop_placements(5.0)], [])
        theirs.record_sent("e", [part], now=25.0, capacity=1000)
        self.assertEqual(len(list(theirs.pop_placements(25.0))), 1)

    def test_placements_of_the_previous_incarnation(self) -> None:
        """An engine restarts within a second; others still report what it had cached.

        If these reports counted, the prompt would be sent there as if it were cached and be
        read again, while the engine that has it cached would not be used.
        """
        tracker = PartTracker()
        tracker.forget("e", emptied_at=10.0)
        old = PlacedPart(part="d:5000", endpoint_id="e", age_s=4.0)
        tracker.handle_placements([old], now=12.0, capacity=100_000)
        parts = (PromptPart("d", 5000),)
        self.assertEqual(tracker.count_cached("e", parts), 0)
        new = PlacedPart(part="d:5000", endpoint_id="e", age_s=1.0)
        tracker.handle_placements([new], now=12.0, capacity=100_000)
        self.assertEqual(tracker.count_cached("e", parts), 5000)

    def test_attempt_that_failed_before_its_prompt_was_read(self) -> None:
        """An engine refuses connections, so it has not cached the prompt sent to it."""
        world = World()
        placement = Placement(zone="z0")
        facts = make_facts()
        choice = world.choose(facts)
        name = choice.record.endpoint_id
        failed = placement.start(choice, facts, now=0.0, capacity=500_000)
        self.assertEqual(placement.parts.count_cached(name, facts.shared_parts), 10_512)
        placement.finish(failed, now=0.1)
        self.assertEqual(placement.parts.count_cached(name, facts.shared_parts), 0)
        self.assertEqual(list(placement.pop_placements(0.1)), [])
        read = placement.start(choice, facts, now=0.2, capacity=500_000)
        placement.record_first_event(read, now=0.3)
        again = placement.start(choice, facts, now=0.4, capacity=500_000)
        placement.finish(again, now=0.5)
        self.assertEqual(placement.parts.count_cached(name, facts.shared_parts), 10_512)


class LoadTableTest(unittest.TestCase):
    def test_load_of_other_routers_expires(self) -> None:
        loads = LoadTable()
        loads.start("e", 100)
        other = LoadTable()
        other.start("e", 50)
        loads.handle_other_loads(other.list_own(), now=0.0)
        self.assertEqual(loads.count_running("e", 1.0), 2)
        # The engine meanwhile reads the prompts of other routers, at 57 tokens/ms.
        self.assertEqual(loads.count_tokens("e", 0.0, rate=57.0), 150)
        self.assertEqual(loads.count_tokens("e", 1.0, rate=57.0), 100)
        self.assertEqual(loads.count_running("e", 10.0), 1)
        loads.finish_reading("e", 100)
        loads.finish("e")
        self.assertEqual(list(loads.list_own()), [])


if __name__ == "__main__":
    unittest.main()

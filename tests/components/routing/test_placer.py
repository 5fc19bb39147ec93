"""Tests for placement: requirements, bounds, order, determinism and explanation."""

import unittest
from collections import Counter
from math import ceil
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from chivetrack.components.endpoints.models import Availability
from chivetrack.components.load.tracker import LoadTracker
from chivetrack.components.routing.const import HINTS_WARM_UP_S
from chivetrack.components.routing.hints import CacheHints
from chivetrack.components.routing.order import hash_affinity
from chivetrack.components.routing.placer import Placer
from tests.components.routing.fakes import FakeView, make_demand, make_endpoint, make_endpoints


class PlacerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = FakeView(make_endpoints(6))
        self.load = LoadTracker(router_id="router-1")
        self.hints = CacheHints()
        self.placer = Placer(view=self.view, load=self.load, random=Random(1), hints=self.hints)

    def place(self, affinity: str = "chat-1", *, now: float = 0.0, **changes: object) -> str | None:
        placement = self.placer.place(make_demand(affinity, **changes), now=now)
        return placement.endpoint.endpoint_id if placement.endpoint else None

    def test_only_fitting_endpoints_are_chosen(self) -> None:
        fit = make_endpoint("fit", models=("m", "n"), adapters=("a",), version="2", role="decode")
        wanted = {"model": "m", "adapter": "a", "version": "2", "role": "decode"}
        misfits = {
            "service": {"service": "other"},
            "model": {"models": ("n",)},
            "adapter": {"adapters": ()},
            "version": {"version": "1"},
            "role": {"role": "prefill"},
            "leaving": {"availability": Availability.LEAVING},
        }
        good = {"models": ("m",), "adapters": ("a",), "version": "2", "role": "decode"}
        for name, change in misfits.items():
            misfit = make_endpoint("misfit", **(good | change))
            with self.subTest(name):
                self.view.replace([misfit, fit])
                chosen = {self.place(f"chat-{number}", **wanted) for number in range(50)}
                self.assertEqual(chosen, {"fit"})
                self.view.replace([misfit])
                placement = self.placer.place(make_demand(**wanted), now=0.0)
                self.assertIsNone(placement.endpoint)
                self.assertIn(name, placement.reason)
                self.assertIsNotNone(placement.retry_after_s)

    def test_tried_endpoints_are_not_chosen_again(self) -> None:
        first = self.place()
        second = self.place(excluded=frozenset({first}))
        self.assertNotEqual(first, second)
        everything = frozenset(e.endpoint_id for e in make_endpoints(6))
        self.assertIsNone(self.place(excluded=everything))

    def test_hinted_endpoint_that_was_tried_or_leaves_is_not_chosen(self) -> None:
        key = hash_affinity("chat-1")
        self.hints.store(key, "engine-3", 1, stored_at=0.0)
        self.assertEqual(self.place(), "engine-3")
        self.assertNotEqual(self.place(excluded=frozenset({"engine-3"})), "engine-3")
        leaving = make_endpoint("engine-3", availability=Availability.LEAVING)
        self.view.replace([*make_endpoints(3), leaving])
        self.assertNotEqual(self.place(), "engine-3")

    def test_broken_endpoint_is_chosen_when_none_is_ready(self) -> None:
        """The circuit of every endpoint is open, for example because of a faulty probe.

        Refusing all requests would turn a faulty probe into an outage, so a broken endpoint
        is chosen. A leaving endpoint is never chosen, since it must get no new requests.
        """
        broken = make_endpoint("broken", availability=Availability.BROKEN)
        leaving = make_endpoint("leaving", availability=Availability.LEAVING)
        self.view.replace([leaving, broken])
        placement = self.placer.place(make_demand(), now=0.0)
        self.assertEqual(placement.endpoint, broken)
        self.assertIn("no endpoint is ready", placement.reason)

    def test_load_stays_within_the_bound(self) -> None:
        """One large workspace sends all its requests with the same affinity.

        Plain hashing would place them all on one engine. Each placement must keep that
        engine at or below 1.25 times the mean, or the mean rounded up if that is more.
        """
        for total in range(1, 200):
            chosen = self.place("same-dossier")
            assert chosen is not None
            self.load.start(chosen, 0.0)
            limit = max(1.25 * total / 6, ceil(total / 6))
            self.assertLessEqual(max(self.load.estimates.values()), limit)

    def test_limits_follow_capacity(self) -> None:
        self.view.replace(
            [make_endpoint("large", capacity=30), make_endpoint("small", capacity=10)]
        )
        for _ in range(200):
            self.load.start(self.place("same") or "", 0.0)
        self.assertLessEqual(self.load.count_own("small"), 1.25 * 50)
        self.assertLessEqual(self.load.count_own("large"), 1.25 * 150)

    def test_new_endpoint_starts_slowly_and_other_chats_keep_their_home(self) -> None:
        """An engine joins with an empty cache and is the home of a sixth of all chats.

        If all these chats were sent there immediately, they would find an empty cache and
        queue. While the share of the new engine is small, the other chats stay at their
        previous home.
        """
        old = make_endpoints(5)
        self.view.replace(old)
        chats = [f"chat-{number}" for number in range(300)]
        before = {chat: self.place(chat) for chat in chats}
        for endpoint in old:
            for _ in range(20):
                self.load.start(endpoint.endpoint_id, 0.0)
        self.view.replace([*old, make_endpoint("new", joined_at=0.0)])
        moved = [chat for chat in chats if self.place(chat, now=1.0) == "new"]
        self.assertGreater(len(moved), 20)
        for _ in range(5):
            self.load.start("new", 1.0)
        self.assertEqual([self.place(chat, now=1.0) for chat in moved], [before[c] for c in moved])
        self.assertEqual({self.place(chat, now=31.0) for chat in moved}, {"new"})

    def test_cold_chats_leave_room_for_those_with_context(self) -> None:
        """Chats with context at their home and chats without arrive at the same time.

        At another endpoint a cold chat loses nothing, but a chat with context has its whole
        prompt read again. The headroom between mean and bound is kept for the latter.
        """
        home = self.place("warm")
        for endpoint in make_endpoints(6):
            for _ in range(20):
                self.load.start(endpoint.endpoint_id, 0.0)
        for _ in range(2):
            self.load.start(home or "", 0.0)
        cold = next(c for c in (f"cold-{n}" for n in range(99)) if self.place(c) == home)
        self.hints.store(hash_affinity("other"), "engine-1", 1, stored_at=0.0)
        self.hints.store(hash_affinity("warm"), home or "", 1, stored_at=HINTS_WARM_UP_S)
        self.assertEqual(self.place("warm", now=HINTS_WARM_UP_S), home)
        self.assertNotEqual(self.place(cold, now=HINTS_WARM_UP_S), home)

    def test_near_endpoints_are_preferred_until_they_are_full(self) -> None:
        near = make_endpoint("near", capacity=2)
        far = make_endpoint("far", zone="kumamoto-hall", capacity=2)
        self.view.replace([near, far])
        chosen = []
        for _ in range(4):
            chosen.append(self.place(zone="fukuoka-hall"))
            self.load.start(chosen[-1] or "", 0.0)
        self.assertEqual(chosen, ["near", "near", "far", "far"])
        self.view.replace([far])
        self.assertEqual(self.place(zone="fukuoka-hall"), "far")

    def test_explanation_names_candidates_loads_and_limit(self) -> None:
        first = self.place()
        for _ in range(3):
            self.load.start(first or "", 0.0)
        placement = self.placer.place(make_demand(), now=0.5)
        self.assertIn("choice 2", placement.reason)
        refused, chosen = placement.candidates
        self.assertEqual((refused.endpoint_id, refused.in_flight), (first, 3.0))
        self.assertEqual((refused.limit, refused.verdict), (1.0, "at its bound"))
        self.assertEqual(chosen.verdict, "chosen")


class PlacementPropertiesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(data=st.data())
    def test_bound_fit_and_determinism(self, data: st.DataObject) -> None:
        """For any loads and states, the chosen endpoint fits and is below its bound.

        Two routers that list the endpoints in different orders, with the same counts, must
        make the same choice. Otherwise only the router that placed a chat finds its context.
        """
        states = st.sampled_from([Availability.READY, Availability.READY, *Availability])
        endpoints = [
            make_endpoint(f"e{number}", capacity=capacity, availability=state, joined_at=joined)
            for number, (capacity, state, joined) in enumerate(
                data.draw(
                    st.lists(
                        st.tuples(st.integers(1, 4), states, st.sampled_from([-99.0, 0.0])),
                        min_size=1,
                        max_size=12,
                    )
                )
            )
        ]
        ids = [endpoint.endpoint_id for endpoint in endpoints]
        loads = {name: data.draw(st.integers(0, 30)) for name in ids}
        excluded = frozenset(data.draw(st.sets(st.sampled_from(ids))))
        demand = make_demand(data.draw(st.text(min_size=1)), excluded=excluded)
        answers = []
        for order in (endpoints, endpoints[::-1]):
            load = LoadTracker(router_id="r")
            for name, count in loads.items():
                for _ in range(count):
                    load.start(name, 0.0)
            placer = Placer(view=FakeView(order), load=load, random=Random(0))
            answers.append(placer.place(demand, now=1.0))
        self.assertEqual(answers[0], answers[1])
        chosen = answers[0].endpoint
        if chosen is None:
            usable = [e for e in endpoints if e.availability is Availability.READY]
            bad = [e for e in endpoints if e.availability is not Availability.LEAVING]
            self.assertLessEqual({e.endpoint_id for e in usable or bad}, excluded)
            return
        self.assertNotIn(chosen.endpoint_id, excluded)
        self.assertIsNot(chosen.availability, Availability.LEAVING)
        if any(e.availability is Availability.READY for e in endpoints):
            pool = [e for e in endpoints if e.availability is Availability.READY]
        else:
            pool = [e for e in endpoints if e.availability is not Availability.LEAVING]
        self.assertIn(chosen, pool)
        total = sum(loads[e.endpoint_id] for e in pool) + 1
        capacity = sum(e.capacity for e in pool)
        limits = {
            e.endpoint_id: max(
                1.25 * total * e.capacity / capacity, ceil(total * e.capacity / capacity)
            )
            for e in pool
        }
        under = [n for n, limit in limits.items() if loads[n] + 1 <= limit and n not in excluded]
        if under:
            self.assertIn(chosen.endpoint_id, under)


class SpreadTest(unittest.TestCase):
    def test_homes_follow_capacity_and_few_move_on_a_leave(self) -> None:
        endpoints = [make_endpoint(f"e{n}", capacity=8 if n % 2 else 16) for n in range(20)]
        view = FakeView(endpoints)
        placer = Placer(view=view, load=LoadTracker(router_id="r"), random=Random(0))
        chats = [f"chat-{number}" for number in range(6000)]
        before = [placer.place(make_demand(chat), now=0.0).endpoint for chat in chats]
        counts = Counter(endpoint.endpoint_id for endpoint in before if endpoint)
        for endpoint in endpoints:
            fair = 6000 * endpoint.capacity / 240
            self.assertLess(abs(counts[endpoint.endpoint_id] - fair), 5 * fair**0.5)
        view.replace(endpoints[1:])
        after = [placer.place(make_demand(chat), now=0.0).endpoint for chat in chats]
        moved = sum(1 for old, new in zip(before, after, strict=True) if old != new)
        self.assertLess(moved, 2 * counts["e0"])

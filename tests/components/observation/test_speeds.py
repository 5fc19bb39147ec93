"""Tests for choices among engines that are faster, slower, different or changing."""

import unittest
from collections import Counter
from random import Random

from chivetrack.components.observation.median import RunningMedian
from chivetrack.components.observation.speeds import ServiceSpeeds
from chivetrack.components.placement.choice import Candidate
from chivetrack.components.placement.placement import Placement
from chivetrack.components.traffic.models import EngineProfile, Service
from chivetrack.components.traffic.requests import PromptPart, RequestFacts
from tests.components.announcements.test_table import make_record

ENGINE = Service(name="llm", engine=EngineProfile(slots=64, memory_tokens=500_000))
PLAIN = Service(name="portal")
FIRST_MS = 13.0


class Load:
    """Sequential requests to four simulated endpoints with a given speed each."""

    def __init__(self, *, service: Service, rate: float = 57.0, seed: int = 1) -> None:
        self.service = service
        self.rate = rate
        self.slowness = dict.fromkeys(("e0", "e1", "e2", "e3"), 1.0)
        self.random = Random(seed)
        self.now = 0.0
        self.placement = Placement(zone="z")
        self.candidates = [
            Candidate(record=make_record(endpoint_id=name, service=service.name, zone="z", slots=6))
            for name in self.slowness
        ]

    def make_facts(self, tokens: int) -> RequestFacts:
        if self.service is PLAIN:
            return RequestFacts(request_id="q")
        parts = (PromptPart(f"s{self.random.random()}", tokens),)
        return RequestFacts(request_id="q", parts=parts, prompt_tokens=tokens)

    def send_requests(self, count: int, tokens: int = 4000) -> Counter[str]:
        """Send ``count`` requests, one every 100 ms; return their number by endpoint."""
        counts: Counter[str] = Counter()
        for _ in range(count):
            self.now += 0.1
            facts = self.make_facts(self.random.choice((100, tokens)))
            choice = self.placement.choose(
                self.candidates, service=self.service, facts=facts, now=self.now
            )
            assert choice is not None
            name = choice.record.endpoint_id
            counts[name] += 1
            placed = self.placement.start(choice, facts, now=self.now, capacity=500_000)
            noise = self.random.lognormvariate(0.0, 0.2)
            if self.service is PLAIN:
                took_ms = 30.0 * self.slowness[name] * noise
            else:
                took_ms = (FIRST_MS + choice.missing_tokens / self.rate) * self.slowness[name]
                took_ms *= noise
                self.placement.record_first_event(placed, now=self.now + took_ms / 1000)
            placed.is_complete = True
            self.placement.finish(placed, now=self.now + took_ms / 1000)
        return counts


class SpeedsTest(unittest.TestCase):
    def test_engines_three_times_faster_and_slower(self) -> None:
        """The routers use engines of unknown speed.

        With the values of other engines, the cost of reading would be three times too high or
        too low relative to distance, and estimates for time limits would be wrong.
        """
        for factor in (1 / 3, 1.0, 3.0):
            load = Load(service=ENGINE, rate=57.0 * factor)
            load.send_requests(150)
            learned = load.placement.get_speeds("llm").read_tokens_per_ms
            self.assertLess(abs(learned / (57.0 * factor) - 1), 0.35, factor)

    def test_engines_of_different_speed(self) -> None:
        """One of four engines takes four times as long as the others and must get less."""
        load = Load(service=ENGINE)
        load.slowness["e2"] = 4.0
        load.send_requests(60)
        counts = load.send_requests(200)
        self.assertLess(counts["e2"], 0.6 * min(counts["e0"], counts["e1"], counts["e3"]))

    def test_engine_turns_slow_and_recovers(self) -> None:
        """An engine turns slow during operation and recovers later.

        While it is slow its share must fall, since its requests are late. After the recovery
        it must get requests again, or the others would have to serve its share for ever.
        """
        load = Load(service=PLAIN)
        before = load.send_requests(200)
        load.slowness["e1"] = 6.0
        load.send_requests(20)
        during = load.send_requests(100)
        load.slowness["e1"] = 1.0
        load.send_requests(300)
        after = load.send_requests(200)
        self.assertLess(during["e1"], 0.5 * before["e1"] / 2 + 8)
        self.assertGreater(after["e1"], 20)

    def test_whole_service_turns_slow(self) -> None:
        """All endpoints take three times as long; none of them may count as slow."""
        load = Load(service=PLAIN)
        load.send_requests(100)
        for name in load.slowness:
            load.slowness[name] = 3.0
        load.send_requests(60)
        speeds = load.placement.get_speeds("portal")
        self.assertLess(abs(speeds.plain_ms / 90.0 - 1), 0.4)
        for name in load.slowness:
            self.assertLess(speeds.find_slowness(name, load.now), 1.6)

    def test_new_incarnation_has_no_slowness(self) -> None:
        speeds = ServiceSpeeds()
        for _ in range(20):
            speeds.record_plain_answer("e", took_ms=900.0, now=0.0)
        self.assertGreater(speeds.find_slowness("e", 0.0), 1.5)
        speeds.forget("e")
        self.assertEqual(speeds.find_slowness("e", 0.0), 1.0)

    def test_time_of_most_streams(self) -> None:
        """Guards against streams that begin shortly before an exit, which interrupts them."""
        random = Random(3)
        speeds = ServiceSpeeds()
        for _ in range(400):
            tokens = random.choice((50, 200, 800))
            speeds.record_stream(10.0 * tokens * random.lognormvariate(0.0, 0.5), tokens=tokens)
        self.assertLess(abs(speeds.expect_answer_ms(400) / 4000 - 1.4), 0.4)
        self.assertEqual(speeds.expect_answer_ms(0), speeds.answer_ms)

    def test_expected_length_is_limited_by_the_allowed_length(self) -> None:
        for expected, most, likely in ((900, 300, 300), (200, 300, 200), (0, 300, 300), (0, 0, 0)):
            facts = RequestFacts(request_id="q", expected_tokens=expected, max_output_tokens=most)
            self.assertEqual(facts.likely_output_tokens, likely)


class MedianTest(unittest.TestCase):
    def test_follows_a_change_and_ignores_outliers(self) -> None:
        random = Random(2)
        median = RunningMedian(10.0)
        for _ in range(50):
            median.add(random.choice((9.0, 10.0, 11.0, 5000.0)))
        self.assertLess(median.value, 13.0)
        for _ in range(12):
            median.add(30.0)
        self.assertGreater(median.value, 25.0)
        median.add(0.0)
        self.assertGreater(median.value, 15.0)


if __name__ == "__main__":
    unittest.main()

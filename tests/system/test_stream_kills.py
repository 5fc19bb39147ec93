"""Streams of several versions while all routers are killed again and again."""

import random
import threading
import time
import unittest
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from tests.system.deployment import Deployment, open_deployment
from tests.system.streams import (
    EVENT_INTERVAL_S,
    EVENTS,
    CallerStream,
    StreamingEndpoint,
    make_stream_config,
    run_together,
)

SEEDS = (66,)
PLAY_S = 18.0
# A play in which no caller has taken up a stream yet shows nothing, and goes on for longer.
MAX_PLAY_S = 60.0
ROUTERS = 3
CALLERS = 12
FIRST_RELEASE_S = 4.0
HEARTBEAT_S = 1.0
KILL_INTERVAL_S = (1.0, 4.0)
CALLER_WAIT_S = 15.0
# A router sends a record within 20 ms of the first event.
RECORD_MARGIN_S = 0.3
# Endpoints at once, by address; one that ends leaves its address to another version at once.
ADDRESSES = 4
NAMES_REQUEST = 0.8
KILLS_REPLICA = 0.3
STOPS_ROUTER = 0.2
ENDS_ENDPOINT = 0.5


@dataclass(slots=True)
class Life:
    """How long an endpoint served, by the clock of the logs (s)."""

    endpoint: StreamingEndpoint
    began_at: float
    draining_at: float = float("inf")
    ended_at: float = float("inf")

    def serves(self, version: str, at: float) -> bool:
        """Return whether streams of a version may go on here, with a second to become known."""
        is_ready = self.began_at + 1.0 <= at < min(self.draining_at, self.ended_at)
        return is_ready and self.endpoint.version == version


@dataclass(slots=True)
class Story:
    """A caller's tries at one stream; the first of ``parts`` brought the first event.

    It broke off at ``broke_at``, by the clock of the logs (s).
    """

    names_request: bool
    began_at_router: str = ""
    broke_at: float = 0.0
    parts: list[CallerStream] = field(default_factory=list)
    tries: list[CallerStream] = field(default_factory=list)

    @property
    def numbers(self) -> list[int]:
        return [number for part in self.parts for number, _ in part.events]

    @property
    def versions(self) -> set[str]:
        return {version for part in self.parts for version in part.versions}

    @property
    def is_complete(self) -> bool:
        return bool(self.tries) and self.tries[-1].status == 200 and self.tries[-1].is_complete

    def try_once(self, deployment: Deployment, router: str) -> None:
        headers = {}
        if self.parts:
            headers["Last-Event-Id"] = str(self.numbers[-1])
            if self.names_request:
                headers["Resumes"] = self.parts[0].attempt
        stream = CallerStream().read(deployment, router, **headers)
        self.tries.append(stream)
        if not stream.events:
            return
        if not self.parts:
            self.began_at_router, self.broke_at = router, time.time()
        self.parts.append(stream)

    def find_fault(self) -> str:
        """Return what is wrong with what the caller has got, nothing if it is sound."""
        if len(self.versions) > 1:
            return "joined from two versions"
        if self.numbers != list(range(1, len(self.numbers) + 1)):
            return "gap or duplicate"
        if self.is_complete and len(self.numbers) != EVENTS:
            return "ends early as complete"
        return ""


class Play:
    """Kills, releases and callers, drawn from a seed."""

    def __init__(self, deployment: Deployment, seed: int, *, play_s: float) -> None:
        self.deployment = deployment
        self.random = random.Random(seed)
        self.play_s = play_s
        self.lives: dict[int, Life] = {}
        self.past: list[Life] = []
        self.stories: list[Story] = []
        self.counts: Counter[str] = Counter()
        self.killed: list[tuple[float, str]] = []
        self.version = 1
        self._started = 0
        self._began = time.monotonic()
        self._is_over = threading.Event()

    def run(self) -> None:
        self.deployment.start_all()
        for address in range(2):
            self.start_endpoint(address)
        self.deployment.put(make_stream_config())
        for life in self.lives.values():
            self.deployment.announce(life.endpoint)
        for router in self.deployment.list_names("r"):
            self.deployment.wait_served(router)
        self._began = time.monotonic()
        callers = [partial(self.call, self.random.random()) for _ in range(CALLERS)]
        run_together([self.disturb, self.send_heartbeats, *callers])

    @property
    def has_time(self) -> bool:
        played_s = time.monotonic() - self._began
        return played_s < self.play_s or (played_s < MAX_PLAY_S and not self._has_taken_up())

    def _has_taken_up(self) -> bool:
        return any(len(story.parts) > 1 for story in self.stories)

    # Endpoints

    def start_endpoint(self, address: int) -> None:
        self._started += 1
        endpoint = StreamingEndpoint(
            host=f"{self.deployment.network}.{200 + address}",
            name=f"i-{self._started}",
            version=f"v{self.version}",
        )
        self.lives[address] = Life(endpoint, time.time())

    def end_endpoint(self, address: int) -> None:
        life = self.lives.pop(address)
        life.ended_at = time.time()
        self.past.append(life)
        life.endpoint.end()

    def release(self) -> None:
        """Start an endpoint of a newer version, also at the address of one that ends now."""
        self.version += self.random.random() < 0.7
        address = self.random.randrange(ADDRESSES)
        if address in self.lives:
            self.end_endpoint(address)
        self.start_endpoint(address)
        self.send_heartbeat(self.lives[address])

    def retire(self) -> None:
        """End or drain an endpoint of the oldest version while another one is left."""
        ready = [one for one, life in self.lives.items() if life.draining_at > time.time()]
        if len(ready) < 2:
            return
        address = min(ready, key=lambda one: int(self.lives[one].endpoint.version[1:]))
        if self.random.random() < 0.5:
            self.end_endpoint(address)
        else:
            self.lives[address].draining_at = time.time()
            self.send_heartbeat(self.lives[address])

    def send_heartbeat(self, life: Life) -> None:
        state = "draining" if life.draining_at <= time.time() else "ready"
        heartbeat = life.endpoint.make_heartbeat(state)
        path = f"/instances/{life.endpoint.name}"
        for name in self.deployment.list_names("p"):
            if self.deployment.control("PUT", name, path, heartbeat)[0] == 200:
                return

    def send_heartbeats(self) -> None:
        while not self._is_over.wait(HEARTBEAT_S):
            for life in list(self.lives.values()):
                self.send_heartbeat(life)

    # Kills

    def disturb(self) -> None:
        while self.has_time:
            time.sleep(self.random.uniform(*KILL_INTERVAL_S))
            is_released = time.monotonic() - self._began > FIRST_RELEASE_S
            if is_released and self.random.random() < 0.6:
                self.release()
                time.sleep(self.random.choice((0.0, 0.02, 0.3, 1.0)))
            changes = [self.kill_routers]
            if is_released and self.random.random() < ENDS_ENDPOINT:
                changes.append(self.retire)
            self.random.shuffle(changes)
            run_together(changes)
        self._is_over.set()

    def kill_routers(self) -> None:
        """Kill all routers, some with a replica; start them again while callers come back."""
        names = self.deployment.list_names("r")
        if self.random.random() < KILLS_REPLICA:
            names.append(self.random.choice(self.deployment.list_names("p")))
        stopping = []
        for name in names:
            if name[0] == "r" and self.random.random() < STOPS_ROUTER:
                stopping.append(self.deployment.begin_stop(name))
            else:
                self.deployment.kill(name)
            self.killed.append((time.time(), name))
        time.sleep(self.random.uniform(0.05, 1.0))
        for process in stopping:
            process.kill()
            process.wait()
        for name in names:
            self.deployment.start(name)

    # Callers

    def call(self, seed: float) -> None:
        """Read streams to their end; take up each that breaks off, for as long as it may take."""
        draw = random.Random(seed)
        while self.has_time:
            story = Story(names_request=draw.random() < NAMES_REQUEST)
            self.stories.append(story)
            ends_at = time.monotonic() + CALLER_WAIT_S
            while self.has_time and time.monotonic() < ends_at and not story.is_complete:
                story.try_once(self.deployment, draw.choice(self.deployment.list_names("r")))
                time.sleep(draw.uniform(0.02, 0.3))

    # What came of it

    def list_faults(self) -> list[str]:
        return [
            f"{story.find_fault()}: {[(one.attempt, one.events) for one in story.parts]}"
            for story in self.stories
            if story.find_fault()
        ]

    def count_all(self) -> Counter[str]:
        """Count what callers got, and refusals by their reason and whether they were needed."""
        self.counts["killed"] = len(self.killed)
        self.counts["streams"] = len(self.stories)
        self.counts["complete"] = sum(story.is_complete for story in self.stories)
        self.counts["taken up"] = sum(max(0, len(story.parts) - 1) for story in self.stories)
        lives = [*self.past, *self.lives.values()]
        self.counts["misdirected"] = sum(life.endpoint.misdirected for life in lives)
        tried = {one.attempt: story for story in self.stories for one in story.tries}
        for router in self.deployment.list_names("r"):
            for event in self.deployment.read_events(router):
                story = tried.get(event.get("request", ""))
                if story is not None and event["event"] in ("stream_refused", "request_given_up"):
                    self.counts[self._describe(event, story)] += 1
        return self.counts

    def _describe(self, event: dict[str, Any], story: Story) -> str:
        if not story.parts:
            return f"{event['event']} {event['why']}, begins"
        (version,) = story.parts[0].versions
        lives = [*self.past, *self.lives.values()]
        is_served = any(life.serves(version, event["at"]) for life in lives)
        is_recorded = story.names_request and self._is_recorded(story, event["at"])
        facts = [event["event"], event["why"]]
        facts.append("named" if story.names_request else "not named")
        facts.append("version serves" if is_served else "version gone")
        facts.append("record at a majority" if is_recorded else "no record")
        return ", ".join(facts)

    def _is_recorded(self, story: Story, at: float) -> bool:
        """Return whether a majority of replicas has the record of a stream.

        Its router sent it if it knew of several versions before it was killed, and a replica that
        was killed since has forgotten it.
        """
        sent_by = story.broke_at - RECORD_MARGIN_S
        registered = [
            event
            for event in self.deployment.read_events(story.began_at_router)
            if event["event"] == "versions_registered" and event["at"] < sent_by
        ]
        forgot = {name for killed_at, name in self.killed if story.broke_at - 1.0 < killed_at < at}
        is_old = len(story.parts[0].events) * EVENT_INTERVAL_S > RECORD_MARGIN_S
        is_sent = is_old and bool(registered) and not registered[-1]["single"]
        return is_sent and len(forgot & set(self.deployment.list_names("p"))) < 2


class StreamKillsTest(unittest.TestCase):
    def play(self, seed: int, *, play_s: float) -> Counter[str]:
        with open_deployment(routers=ROUTERS) as deployment:
            play = Play(deployment, seed, play_s=play_s)
            try:
                play.run()
                counts = play.count_all()
                self.assertEqual(play.list_faults(), [], f"seed {seed}, {counts}")
            finally:
                for life in list(play.lives.values()):
                    life.endpoint.end()
        return counts

    def test_no_stream_is_joined_while_all_routers_are_killed(self) -> None:
        """Guards against streams joined from two versions after all routers were killed at once."""
        for seed in SEEDS:
            counts = self.play(seed, play_s=PLAY_S)
            self.assertGreater(counts["taken up"], 0, counts)
            self.assertGreater(counts["complete"], 0, counts)


if __name__ == "__main__":
    unittest.main()

"""Tests of the lookup of origins at replicas, over messages that may get lost."""

import shutil
import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import mock

import gevent
import msgspec
from gevent.event import Event

from chivetrack.components.announcements.models import EndpointState
from chivetrack.components.announcements.table import EndpointTable
from chivetrack.components.origins.const import (
    LOOKUP_TIMEOUT_S,
    LOST_VERSION_MEMORY_S,
    VERSION_MEMORY_S,
)
from chivetrack.components.origins.messages import OriginAnswer, OriginQuery, OriginRecords
from chivetrack.components.origins.models import Origin, OriginBasis, OriginVerdict
from chivetrack.components.traffic.models import RouteKind, Share
from chivetrack.components.traffic.requests import RequestFacts
from chivetrack.daemon.fleet.calls import Call
from chivetrack.daemon.fleet.origin_file import OriginFile
from chivetrack.daemon.fleet.origin_host import OriginHost
from chivetrack.daemon.fleet.origins import OriginClient
from chivetrack.helpers.clock import read_boot_clock
from chivetrack.helpers.codec import Message
from chivetrack.helpers.events import EventLog
from tests.components.announcements.test_table import make_record
from tests.components.traffic.documents import make_document, make_route
from tests.daemon.fleet.scripted import Caller, make_call

REPLICAS = ("p1", "p2", "p3")
V1, V2 = Origin("portal", "v1"), Origin("portal", "v2")
# A wait that lasts as long as its limit exceeds this, also on a busy machine.
LIMIT_S = 3.0
TIMEOUT = "chivetrack.daemon.fleet.origins.LOOKUP_TIMEOUT_S"
STREAM = make_route(kind=RouteKind.STREAM, is_resumable=True)


class OriginsCase(unittest.TestCase):
    """Three replicas and routers; messages to instances in ``cut`` are lost."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(TemporaryDirectory(prefix="chivetrack-")))
        for name in REPLICAS:
            (self.folder / name).mkdir()
        self.cut: set[str] = set()
        self.sent: list[Message] = []
        self.hosts = {name: self.make_host(name) for name in REPLICAS}
        self.clients: dict[str, OriginClient] = {}
        self.open_router("r1")
        self.open_router("r2")

    def restart(self, name: str, *, keeps_disk: bool = False) -> None:
        """Replace a replica by a new process, which has its disk or an empty one."""
        if not keeps_disk:
            shutil.rmtree(self.folder / name)
            (self.folder / name).mkdir()
        self.hosts[name] = self.make_host(name, is_founder=False)

    def make_host(self, name: str, *, is_founder: bool = True) -> OriginHost:
        return OriginHost(
            instance_id=name,
            is_founder=is_founder,
            file=OriginFile(folder=self.folder / name, events=EventLog(instance=name)),
            table=EndpointTable(),
            list_replicas=lambda: REPLICAS,
            send=lambda target, message: self.deliver(name, target, message),
            answer=lambda target, message: self.deliver(name, target, message),
            events=EventLog(instance=name),
        )

    def open_router(self, name: str) -> None:
        client = OriginClient(
            list_replicas=lambda: REPLICAS,
            count_routers=lambda: 2,
            send=lambda target, message: self.deliver(name, target, message),
            events=EventLog(instance=name),
        )
        self.clients[name] = client
        running = gevent.spawn(client.run)
        self.addCleanup(running.kill)

    def deliver(self, source: str, target: str, message: Message) -> None:
        self.sent.append(message)
        if target not in self.cut and source not in self.cut:
            gevent.spawn(self.handle, source, target, message)

    def handle(self, source: str, target: str, message: Any) -> None:
        if target in self.clients:
            self.clients[target].handle_answer(source, message)
        elif isinstance(message, OriginRecords):
            self.hosts[target].handle_records(source, message)
        elif isinstance(message, OriginQuery):
            self.hosts[target].handle_query(source, message)
        else:
            self.hosts[target].handle_answer(source, message)

    def announce(self, *origins: Origin) -> None:
        for client in self.clients.values():
            client.handle_endpoints(frozenset(origins))
        for client in self.clients.values():
            self.wait_registered(client, *origins)
        self.wait_saved()

    def wait_saved(self) -> None:
        """Wait until no replica writes; a majority confirms before the others have."""
        with gevent.Timeout(5.0):
            while any(host._is_saving for host in self.hosts.values()):
                gevent.sleep(0.01)

    def wait_registered(self, client: OriginClient, *origins: Origin) -> None:
        with gevent.Timeout(5.0):
            while not all(map(client.tracker.may_begin, origins)):
                gevent.sleep(0.01)

    def wait_answers(self, count: int) -> None:
        with gevent.Timeout(5.0):
            while self.count_answers() < count:
                gevent.sleep(0.01)

    def begin(self, router: str, request: str, origin: Origin = V1, **changes: Any) -> Call:
        facts = RequestFacts(request_id=request, wait_s=15.0)
        call = make_call(Caller(), **{"route": STREAM, "facts": facts, **changes})
        call.begin_stream(make_record(service=origin.service, software=origin.software))
        self.clients[router].record_begin(call)
        gevent.sleep(0.05)
        return call

    def find(self, router: str, request: str, **changes: Any) -> OriginVerdict:
        facts = RequestFacts(request_id="next", last_event_id="7", resumes=request)
        call = make_call(Caller(), **{"route": STREAM, "facts": facts, **changes})
        return self.clients[router].find(call)

    def count_records(self) -> int:
        return sum(isinstance(one, OriginRecords) for one in self.sent)

    def count_answers(self) -> int:
        return sum(isinstance(one, OriginAnswer) for one in self.sent)


class IdleRouterTest(unittest.TestCase):
    def test_router_without_endpoints_waits(self) -> None:
        """Guards against a router that uses a whole core until it knows an endpoint."""
        client = OriginClient(
            list_replicas=list,
            count_routers=lambda: 1,
            send=lambda target, message: None,
            events=EventLog(instance="r1"),
        )
        clock = mock.patch("chivetrack.daemon.fleet.origins.time.monotonic", return_value=1.0)
        with clock as read_clock:
            running = gevent.spawn(client.run)
            gevent.sleep(0.05)
            running.kill()
        self.assertLessEqual(read_clock.call_count, 2)


class OriginLookupTest(OriginsCase):
    def test_one_version_needs_no_records(self) -> None:
        self.announce(V1)
        self.begin("r1", "a")
        self.assertEqual(self.count_records(), 0)
        self.assertEqual(self.find("r1", "a").basis, OriginBasis.OWN)
        verdict = self.find("r2", "a")
        self.assertEqual((verdict.origin, verdict.basis), (V1, OriginBasis.ONLY_VERSION))

    def test_stream_of_a_router_that_is_gone_is_found_among_two_versions(self) -> None:
        """Guards against streams that can't go on since the router that began them was killed."""
        self.announce(V1)
        self.begin("r1", "a", V1)
        self.announce(V1, V2)
        self.begin("r1", "b", V2)
        self.cut.add("r1")
        found = [self.find("r2", request) for request in ("a", "b")]
        self.assertEqual([one.origin for one in found], [V1, V2])
        self.assertEqual({one.basis for one in found}, {OriginBasis.TOLD})

    def test_unknown_stream_among_two_versions_is_refused_at_once(self) -> None:
        """Guards against a guess, and against waiting although every replica has answered."""
        self.announce(V1, V2)
        began = time.monotonic()
        with mock.patch(TIMEOUT, 2 * LIMIT_S):
            verdict = self.find("r2", "never")
        self.assertEqual((verdict.origin, verdict.basis), (None, OriginBasis.NO_RECORD))
        self.assertLess(time.monotonic() - began, LIMIT_S)

    def test_router_that_was_cut_off_does_not_go_by_its_old_view(self) -> None:
        """Guards against a stream of a new version at a router that knows only the old one."""
        self.announce(V1)
        self.cut.add("r2")
        self.clients["r1"].handle_endpoints(frozenset((V1, V2)))
        self.wait_registered(self.clients["r1"], V2)
        self.begin("r1", "b", V2)
        began = time.monotonic()
        with mock.patch(TIMEOUT, 0.01):
            self.assertEqual(self.find("r2", "b").basis, OriginBasis.NO_MAJORITY)
        self.assertLess(time.monotonic() - began, LIMIT_S)
        self.cut.clear()
        self.assertEqual(self.find("r2", "b").origin, V2)

    def test_router_that_has_just_started_finds_a_stream(self) -> None:
        """Guards against a router that starts in a release and knows of one version only."""
        self.announce(V1, V2)
        self.begin("r1", "b", V2)
        self.open_router("r2")
        self.clients["r2"].handle_endpoints(frozenset((V1,)))
        self.assertEqual(self.find("r2", "b").origin, V2)
        self.assertIsNone(self.find("r2", "never").origin)

    def test_restarted_replica_does_not_vouch_for_what_it_has_forgotten(self) -> None:
        """Guards against a majority of replicas that lost their memory in a restart."""
        self.announce(V1, V2)
        for name in ("p1", "p2"):
            self.restart(name)
        self.assertEqual(self.find("r2", "never").origin, None)
        self.cut.add("p3")
        self.hosts["p1"].ledger.merge({}, now=0.0)
        self.assertEqual(self.find("r2", "never").basis, OriginBasis.NO_MAJORITY)

    def test_streams_are_made_known_once_most_replicas_have_restarted(self) -> None:
        """Guards against streams that can't go on for half a minute after replicas were killed.

        Two of three replicas lose their memory at once; no majority vouches for the one version,
        and streams that are not recorded can't be taken up.
        """
        self.announce(V1)
        self.begin("r1", "a")
        for name in ("p1", "p2"):
            self.restart(name)
        self.assertEqual(self.find("r2", "a").basis, OriginBasis.NO_MAJORITY)
        self.clients["r1"].handle_view(keeps_origins=True, restart_count=2)
        with gevent.Timeout(LIMIT_S):
            while self.find("r2", "a").basis is not OriginBasis.TOLD:
                gevent.sleep(0.01)
        self.begin("r1", "b")
        for request in ("a", "b"):
            verdict = self.find("r2", request)
            self.assertEqual((verdict.origin, verdict.basis), (V1, OriginBasis.TOLD))

    def test_replicas_that_lost_power_still_remember_what_they_confirmed(self) -> None:
        """Guards against all streams refused that are taken up after a loss of all power."""
        self.announce(V1)
        for name in REPLICAS:
            self.restart(name, keeps_disk=True)
        self.open_router("r2")
        verdict = self.find("r2", "a")
        self.assertEqual((verdict.origin, verdict.basis), (V1, OriginBasis.ONLY_VERSION))

    def lose(self, origin: Origin) -> None:
        """Let all replicas lose an endpoint without a departure, and forget the endpoint."""
        lost = make_record(
            service=origin.service, software=origin.software, state=EndpointState.LOST
        )
        for host in self.hosts.values():
            host.ledger.refresh([lost], now=time.monotonic())
            host.refresh()
        gevent.sleep(0.1)

    def list_remembered(self, name: str, after_s: float) -> frozenset[Origin]:
        ledger = self.hosts[name].ledger
        ledger.refresh([], now=time.monotonic() + after_s)
        return ledger.origins

    def test_lost_version_is_remembered_over_a_restart(self) -> None:
        """Guards against a version that serves beyond a partition and that replicas forget.

        They restart meanwhile, and nothing is announced of its endpoints any more.
        """
        self.announce(V1, V2)
        self.lose(V1)
        for name in REPLICAS:
            self.restart(name, keeps_disk=True)
            self.assertEqual(self.list_remembered(name, VERSION_MEMORY_S + 1.0), {V1})
            self.assertEqual(self.list_remembered(name, LOST_VERSION_MEMORY_S + 1.0), frozenset())

    def test_stream_of_a_partitioned_router_does_not_go_on_at_the_version_that_is_left(
        self,
    ) -> None:
        """Guards against streams joined after a partition in which the replicas restarted.

        A router beyond it began the stream at a version whose endpoints are lost here; its record
        was lost on the way, and it is killed when the partition ends.
        """
        self.announce(V1, V2)
        self.lose(V1)
        self.cut.add("r2")
        self.begin("r2", "a", V1)
        current = make_record(service=V2.service, software=V2.software)
        for name in REPLICAS:
            self.restart(name, keeps_disk=True)
            later = time.monotonic() + VERSION_MEMORY_S + 1.0
            self.hosts[name].ledger.refresh([current], now=later)
        verdict = self.find("r1", "a")
        self.assertEqual((verdict.origin, verdict.basis), (None, OriginBasis.NO_RECORD))

    def test_lost_version_is_remembered_by_a_replica_that_lost_its_disk(self) -> None:
        """Guards against the same where replicas lose their disks one after the other."""
        self.announce(V1, V2)
        self.lose(V1)
        for name in REPLICAS:
            self.restart(name)
            with mock.patch("chivetrack.daemon.fleet.origin_host.SYNC_INTERVAL_S", 0.02):
                gevent.spawn(self.hosts[name].run).join(timeout=5.0)
            self.assertTrue(self.hosts[name].ledger.is_complete)
        for name in REPLICAS:
            self.assertEqual(self.list_remembered(name, VERSION_MEMORY_S + 1.0), {V1})

    def test_file_of_an_earlier_release_is_read(self) -> None:
        """Guards against a replica that has lost its memory after an update."""
        content = msgspec.msgpack.encode((True, (V1, V2)))
        (self.folder / "p1" / "origins").write_bytes(content)
        self.hosts["p1"] = self.make_host("p1", is_founder=False)
        ledger = self.hosts["p1"].ledger
        self.assertEqual((ledger.is_complete, ledger.origins), (True, {V1, V2}))

    def test_version_that_is_forgotten_is_taken_off_the_disk(self) -> None:
        """Guards against a version of long ago that comes back with a restarted replica."""
        self.announce(V1, V2)
        host = self.hosts["p1"]
        host.ledger.refresh([], now=time.monotonic() + VERSION_MEMORY_S)
        host.ledger.register([V2], now=time.monotonic())
        host.refresh()
        gevent.sleep(0.1)
        self.restart("p1", keeps_disk=True)
        self.assertEqual(self.hosts["p1"].ledger.origins, {V2})

    def test_answers_that_are_read_after_the_wait_do_not_count(self) -> None:
        """Guards against confirmations that a router counts when it wakes from a freeze.

        Only the boot clock counts the time if its machine was suspended.
        """
        self.announce(V1)
        client = self.clients["r1"]
        self.cut |= set(REPLICAS)
        client.handle_endpoints(frozenset((V1, V2)))
        gevent.sleep(0.01)
        (query,) = {
            one for one in self.sent if isinstance(one, OriginQuery) and V2 in one.registers
        }
        ledger = self.hosts["p1"].ledger
        answer = ledger.answer(query, members=REPLICAS, now=time.monotonic())
        later = read_boot_clock() + LOOKUP_TIMEOUT_S
        with mock.patch("chivetrack.daemon.fleet.origins.read_boot_clock", return_value=later):
            for name in REPLICAS:
                client.handle_answer(name, answer)
        self.assertFalse(client.tracker.may_begin(V2))
        client.handle_answer("p1", answer)
        client.handle_answer("p2", answer)
        self.assertTrue(client.tracker.may_begin(V2))

    def test_disk_that_hangs_holds_one_query_of_each_router(self) -> None:
        """Guards against queries that pile up at a replica while its disk hangs."""
        host, released = self.hosts["p1"], Event()
        with mock.patch.object(
            OriginFile, "save", side_effect=lambda *args, **kwargs: released.wait()
        ):
            for number in range(50):
                host.handle_query("r1", OriginQuery(number=number, registers=(V2,)))
                gevent.sleep(0)
            self.sent.clear()
            released.set()
            gevent.sleep(0.05)
        numbers = [one.number for one in self.sent if isinstance(one, OriginAnswer)]
        self.assertEqual(len(numbers), 2)
        self.assertEqual(numbers[-1], 49)

    def test_version_that_comes_back_while_it_is_taken_off_the_disk(self) -> None:
        """Guards against a confirmed version that the write of an older state removes."""
        self.announce(V1, V2)
        self.wait_answers(len(REPLICAS) * len(self.clients))
        host, released = self.hosts["p1"], Event()
        save = OriginFile.save

        def save_late(file: OriginFile, *args: Any, **kwargs: Any) -> bool:
            released.wait()
            return save(file, *args, **kwargs)

        host.ledger.refresh([], now=time.monotonic() + VERSION_MEMORY_S)
        host.ledger.register([V2], now=time.monotonic())
        self.sent.clear()
        with mock.patch.object(OriginFile, "save", save_late):
            host.refresh()
            gevent.sleep(0)
            host.handle_query("r1", OriginQuery(number=1, registers=(V1,)))
            self.assertEqual(self.sent, [])
            released.set()
            self.wait_answers(1)
        self.assertEqual([one.number for one in self.sent if isinstance(one, OriginAnswer)], [1])
        self.restart("p1", keeps_disk=True)
        self.assertEqual(self.hosts["p1"].ledger.origins, {V1, V2})

    def test_version_is_confirmed_only_once_it_is_on_the_disk(self) -> None:
        """Guards against a version that replicas have confirmed and forget with their power."""
        self.announce(V1)
        for name in ("p1", "p2"):
            shutil.rmtree(self.folder / name)
        client = self.clients["r1"]
        client.handle_endpoints(frozenset((V1, V2)))
        gevent.sleep(0.4)
        self.assertTrue(client.tracker.may_begin(V1))
        self.assertFalse(client.tracker.may_begin(V2))
        for name in ("p1", "p2"):
            (self.folder / name).mkdir()
        self.wait_registered(client, V2)

    def test_streams_begin_once_a_majority_has_confirmed_their_version(self) -> None:
        """Guards against callers refused after a power loss while one replica does not answer.

        No replica has its memory and one is gone, so whether there is a single version is not known
        before the time limit; that a majority remembers the version is.
        """
        for name in REPLICAS:
            self.restart(name)
        self.cut.add("p3")
        client = self.clients["r1"]
        began = time.monotonic()
        with mock.patch(TIMEOUT, 2 * LIMIT_S):
            client.handle_endpoints(frozenset((V1,)))
            client.wait_registered(2 * LIMIT_S)
        self.assertTrue(client.tracker.may_begin(V1))
        self.assertLess(time.monotonic() - began, LIMIT_S)

    def test_restarted_replica_fetches_what_the_others_remember(self) -> None:
        self.announce(V1, V2)
        self.restart("p1")
        with mock.patch("chivetrack.daemon.fleet.origin_host.SYNC_INTERVAL_S", 0.02):
            gevent.spawn(self.hosts["p1"].run).join(timeout=5.0)
        self.assertTrue(self.hosts["p1"].ledger.is_complete)
        self.assertEqual(len(self.hosts["p1"].ledger.origins), 2)

    def test_stream_whose_record_was_not_sent_does_not_go_on_at_the_version_that_is_left(
        self,
    ) -> None:
        """Guards against the one version left, for a stream whose router died before it told.

        Right after its first event all routers are killed, its endpoints leave, and the replicas
        lose power as well.
        """
        self.announce(V1, V2)
        self.cut.add("r1")
        self.begin("r1", "a", V1)
        for name in REPLICAS:
            self.restart(name, keeps_disk=True)
        self.open_router("r3")
        self.clients["r3"].handle_endpoints(frozenset((V2,)))
        self.wait_registered(self.clients["r3"], V2)
        for request in ("a", "never", ""):
            verdict = self.find("r3", request)
            self.assertEqual((verdict.origin, verdict.basis), (None, OriginBasis.NO_RECORD))

    def test_stream_of_a_route_that_leads_to_another_service_now_is_refused(self) -> None:
        """Guards against a stream that goes on at another service than the one that began it."""
        self.announce(V1)
        self.clients["r1"].handle_document(make_document(1, STREAM))
        self.begin("r1", "a")
        moved = make_route(kind=RouteKind.STREAM, shares=(Share(service="llm", weight=1.0),))
        self.clients["r1"].handle_document(make_document(2, moved))
        gevent.sleep(0.05)
        for router in ("r1", "r2"):
            verdict = self.find(router, "a", route=moved)
            self.assertEqual((verdict.origin, verdict.basis), (None, OriginBasis.OTHER_SERVICE))

    def test_route_to_two_services_keeps_streams_at_their_service(self) -> None:
        split = (Share(service="portal", weight=1.0), Share(service="llm", weight=1.0))
        route = make_route(kind=RouteKind.STREAM, shares=split)
        other = Origin("llm", "v1")
        self.announce(V1, other)
        self.begin("r1", "a", other, route=route)
        self.assertEqual(self.find("r2", "a", route=route).origin, other)
        self.assertIsNone(self.find("r2", "never", route=route).origin)

    def test_stream_that_only_a_caller_names_is_not_recorded(self) -> None:
        """Guards against an id that a caller made up, and that a later stream has."""
        self.announce(V1)
        facts = RequestFacts(request_id="next", last_event_id="7", resumes="a")
        call = make_call(Caller(), route=STREAM, facts=facts)
        call.take_up(self.find("r2", "a"))
        self.clients["r2"].record_begin(call)
        self.announce(V1, V2)
        self.begin("r1", "a", V2)
        self.assertEqual(self.find("r2", "a").origin, V2)

    def take_up(self, router: str, request: str) -> OriginVerdict:
        facts = RequestFacts(request_id="next", last_event_id="7", resumes=request, wait_s=15.0)
        call = make_call(Caller(), route=STREAM, facts=facts)
        verdict = self.find(router, request)
        call.take_up(verdict)
        self.clients[router].record_begin(call)
        return verdict

    def test_stream_that_was_taken_up_goes_on_when_its_next_router_is_killed(self) -> None:
        """Guards against a second take-up that is refused since a release began after the first.

        The first one needs no record, as one version serves; then its router learns of another.
        """
        self.announce(V1)
        self.begin("r1", "a")
        self.cut.add("r1")
        self.assertEqual(self.take_up("r2", "a").basis, OriginBasis.ONLY_VERSION)
        del self.clients["r1"]
        self.announce(V1, V2)
        gevent.sleep(0.05)
        self.cut.add("r2")
        self.open_router("r3")
        verdict = self.find("r3", "a")
        self.assertEqual((verdict.origin, verdict.basis), (V1, OriginBasis.TOLD))

    def test_record_goes_before_what_a_take_up_told(self) -> None:
        """Guards against an id that a caller made up, once other routers know of it as well."""
        self.announce(V1)
        self.take_up("r2", "a")
        self.announce(V1, V2)
        gevent.sleep(0.05)
        self.begin("r1", "a", V2)
        for router in ("r1", "r2"):
            self.assertEqual(self.find(router, "a").origin, V2)

    def test_caller_that_comes_back_twice_names_the_first_request(self) -> None:
        self.announce(V1, V2)
        self.begin("r1", "a", V2)
        again = RequestFacts(request_id="second", last_event_id="7", resumes="a")
        call = make_call(Caller(), route=STREAM, facts=again)
        call.take_up(self.find("r2", "a"))
        self.clients["r2"].record_begin(call)
        self.cut |= set(REPLICAS)
        self.assertEqual(self.find("r2", "a").basis, OriginBasis.OWN)


if __name__ == "__main__":
    unittest.main()

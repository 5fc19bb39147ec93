"""System test of a planned drain: no new requests, no cut streams, and the end of the drain."""

import contextlib
import threading
import time
import unittest

import urllib3

from standins.demo import MODEL, apply_workspace, chat, wait_routed
from standins.fleet import Fleet, open_fleet
from tests.system.fleets import Operator, wait_for

ENGINES = ("engine-1", "engine-2", "engine-3")
DRAINED = "engine-1"
# Maximum time until a router has received a drain through its relay, with a margin for a
# busy machine.
DRAIN_PROPAGATION_S = 5.0


class DrainTest(unittest.TestCase):
    def test_drained_engine_gets_no_new_work_and_cuts_nothing(self) -> None:
        """Guards against requests to a drained engine and against cut streams.

        An operator drains an engine while callers send chats through every router. Within
        ``DRAIN_PROPAGATION_S`` no router sends it new requests, and its running streams
        complete. A second drain that would leave too few engines waits and reports the
        reason. After the first drain is deleted, the engine receives requests again.
        """
        fleet = self.enterContext(open_fleet())
        fleet.plan_instances(3)
        fleet.start_instances()
        for name in ENGINES:
            fleet.start_endpoint(name, "--model", MODEL, "--tokens", "400", "--token-ms", "20")
        apply_workspace(fleet)
        wait_routed(fleet)
        operator = Operator(fleet=fleet)
        streams = self.start_streams(fleet)
        wait_for(lambda: self.count_seen(fleet, DRAINED), "no stream on the engine")
        self.assertEqual(self.drain(operator, "d1", DRAINED).status, 201)
        wait_for(lambda: self.get_phase(operator, "d1") in ("active", "done"), "not active")
        self.assertEqual(self.drain(operator, "d2", "engine-2").status, 201)
        time.sleep(DRAIN_PROPAGATION_S)
        before = self.count_seen(fleet, DRAINED)
        others = self.start_streams(fleet)
        for thread, results in (*streams, *others):
            thread.join()
            self.assertEqual([reply.status for reply in results], [200])
            self.assertTrue(results[0].body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(self.count_seen(fleet, DRAINED), before)
        waiting = operator.send("GET", "entry-1", "drain/d2").document["status"]
        self.assertEqual(waiting["phase"], "waiting", waiting)
        self.assertIn("drain d1", waiting["reason"])
        self.assertIn("must remain", waiting["reason"])
        self.assertEqual(operator.send("DELETE", "entry-2", "drain/d2").status, 200)
        self.assertEqual(operator.send("DELETE", "entry-2", "drain/d1").status, 200)
        wait_for(
            lambda: self.receives_requests(fleet, before),
            "the engine receives no request after the drain",
        )

    def drain(self, operator: Operator, name: str, endpoint: str):
        spec = {"target": {"kind": "endpoint", "name": endpoint}, "floor": 0.6}
        document = {"kind": "drain", "metadata": {"name": name}, "spec": spec}
        return operator.send("POST", "entry-2", "drain", document)

    def get_phase(self, operator: Operator, name: str) -> str:
        document = operator.send("GET", "entry-3", f"drain/{name}").document
        return str((document.get("status") or {}).get("phase"))

    def count_seen(self, fleet: Fleet, name: str) -> int:
        response = fleet.request("GET", fleet.members[name], "/standin/seen")
        return len(response.json()["seen"])

    def start_streams(self, fleet: Fleet) -> list:
        started = []
        for number in range(9):
            member = fleet.members[f"entry-{number % 3 + 1}"]
            results: list = []

            def run(member=member, results=results, number=number) -> None:
                results.append(chat(fleet, member, f"chat {number}", chat_id=f"c{number}"))

            thread = threading.Thread(target=run)
            thread.start()
            started.append((thread, results))
        return started

    def receives_requests(self, fleet: Fleet, before: int) -> bool:
        member = fleet.members["entry-1"]

        def run(number: int) -> None:
            # The fleet may be stopped before these streams complete.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                chat(fleet, member, "again", chat_id=f"x{number}")

        for number in range(6):
            threading.Thread(target=run, args=(number,)).start()
        time.sleep(0.5)
        return self.count_seen(fleet, DRAINED) > before

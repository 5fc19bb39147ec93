"""Message bodies of the platform: decoding of valid and invalid ones, and the responses."""

import json
import unittest
import zlib
from typing import Any

import urllib3
from bottle import Bottle
from expression import Error, Ok, Result
from gevent.pywsgi import WSGIServer
from gevent.threadpool import ThreadPool

from chivetrack.components.announcements.models import EndpointRecord, EndpointState
from chivetrack.components.announcements.soundness import UnsoundRecord
from chivetrack.components.document.store import StoredDocument
from chivetrack.components.traffic.models import Document, RouteKind
from chivetrack.exceptions import Fault
from chivetrack.platform.announcements import read_departure, read_heartbeat
from chivetrack.platform.configuration import read_document
from chivetrack.platform.control_api import RedirectTo, add_document_route, build_control_app

ROUTE = {
    "name": "r",
    "hostname": "h",
    "pathPrefix": "/a/",
    "kind": "stream",
    "timeoutMs": 15000,
    "targetLatencyMs": 1000,
    "priority": 1,
    "trafficSplit": [{"service": "llm", "weight": 90}, {"service": "portal", "weight": 10}],
    "maxAttempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gapTargetMs": 250,
}
SERVICES = [
    {"name": "llm", "engine": {"slots": 64, "kvCapacity": 5000, "models": [{"name": "m"}]}},
    {
        "name": "portal",
        "healthPath": "/health",
        "maxConnections": 110,
        "protocol": "h1",
        "coldStartS": 3.0,
        "coldPerS": 10.0,
    },
]
BEAT = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 1500,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1790732696017,
}


def make_config(**changes: Any) -> bytes:
    document = {
        "version": 7,
        "routes": [ROUTE],
        "services": SERVICES,
        "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
        "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1}],
    }
    return json.dumps({**document, **changes}).encode()


class ConfigurationTest(unittest.TestCase):
    def test_valid_document(self) -> None:
        document = read_document(make_config(unknown={"field": 1})).ok
        (route,) = document.routes
        self.assertIs(route.kind, RouteKind.STREAM)
        self.assertEqual((route.timeout_s, route.longest_pause_s), (15.0, 0.25))
        self.assertEqual([one.weight for one in route.shares], [90.0, 10.0])
        assert document.workspaces is not None
        self.assertEqual(document.workspaces[0].keys, ("k",))
        self.assertEqual(document.limits.idle_timeout_s, 15.0)
        engine = document.services[0].engine
        assert engine is not None
        self.assertEqual(engine.memory_tokens, 5000)
        self.assertEqual([one.cold_per_s for one in document.services], [0.0, 10.0])

    def test_invalid_documents(self) -> None:
        same = [ROUTE, {**ROUTE, "name": "q"}]
        cases = {
            "cut short": make_config()[:-9],
            "not a table": b"[]",
            "not UTF-8": b"\xff\xfe",
            "empty": b"",
            "no version": json.dumps({"routes": [], "services": []}).encode(),
            "version of another type": make_config(version="7"),
            "unknown service": make_config(services=SERVICES[:1]),
            "same place": make_config(routes=same),
            "no weight": make_config(
                routes=[{**ROUTE, "trafficSplit": [{"service": "llm", "weight": 0}]}]
            ),
            "no timeout": make_config(routes=[{**ROUTE, "timeoutMs": 0}]),
            "no service": make_config(routes=[{**ROUTE, "trafficSplit": None}]),
            "shared key": make_config(
                tenants=[{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}]
            ),
        }
        for name, body in cases.items():
            with self.subTest(name):
                self.assertTrue(read_document(body).is_error())

    def test_unknown_kind_is_not_retried(self) -> None:
        document = read_document(make_config(routes=[{**ROUTE, "kind": "new"}])).ok
        self.assertFalse(document.routes[0].is_repeatable)


class HeartbeatTest(unittest.TestCase):
    def test_valid_heartbeat(self) -> None:
        record = read_heartbeat("i-1", json.dumps(BEAT).encode()).ok
        self.assertEqual((record.born, record.sequence, record.cold_s), (1790732696017, 4, 1.5))
        self.assertIs(record.state, EndpointState.READY)

    def test_invalid_heartbeats(self) -> None:
        missing = [{k: v for k, v in BEAT.items() if k != name} for name in ("service", "state")]
        bodies = [
            b"",
            b"\x00\x01",
            b"null",
            *(json.dumps(one).encode() for one in missing),
            json.dumps({**BEAT, "state": "sleeping"}).encode(),
            json.dumps({**BEAT, "sequence": "4"}).encode(),
            json.dumps({**BEAT, "address": 9}).encode(),
            json.dumps({**BEAT, "address": "nowhere"}).encode(),
            json.dumps({**BEAT, "address": ":8281"}).encode(),
            json.dumps({**BEAT, "address": "10.4.64.43:0"}).encode(),
            json.dumps({**BEAT, "address": "10.4.64.43:65536"}).encode(),
            json.dumps({**BEAT, "address": "10.4.64.43:²"}).encode(),
            json.dumps({**BEAT, "address": "10.4.64.43:8281, 10.4.64.44:8281"}).encode(),
            json.dumps({**BEAT, "models": "m"}).encode(),
        ]
        for body in bodies:
            with self.subTest(body=body):
                self.assertTrue(read_heartbeat("i-1", body).is_error())

    def test_entry_that_lacks_what_an_endpoint_says(self) -> None:
        """Guards against requests placed on a program that is no endpoint."""
        fields = {"coldRemainingMs": "cold_s", "version": "software"}
        for name in BEAT.keys() - {"born", "models", "stage"}:
            lacking = {key: value for key, value in BEAT.items() if key != name}
            for body in (lacking, {**BEAT, name: None}):
                with self.subTest(name, body=body):
                    fault = read_heartbeat("i-1", json.dumps(body).encode()).error
                    self.assertEqual(fault.field, fields.get(name, name))
        for name, value in (("version", ""), ("zone", ""), ("service", ""), ("slots", 0)):
            with self.subTest(name, value=value):
                body = json.dumps({**BEAT, name: value}).encode()
                self.assertTrue(read_heartbeat("i-1", body).is_error())

    def test_entry_with_only_what_an_endpoint_says(self) -> None:
        said = {key: BEAT[key] for key in BEAT.keys() - {"born", "models", "stage"}}
        self.assertTrue(read_heartbeat("i-1", json.dumps(said).encode()).is_ok())

    def test_numbers_and_texts_out_of_bounds(self) -> None:
        """Guards against entries of another writer that no message between instances can hold."""
        cases: list[tuple[str, dict[str, object]]] = [
            *(("sequence", {"sequence": one}) for one in (-1, 2**62, 2**63, 2**64, 2**100)),
            *(("born", {"born": one}) for one in (-1, 2**53, 2**100)),
            *(("slots", {"slots": one}) for one in (-1, 2**16, 2**100)),
            *(("cold_s", {"coldRemainingMs": one}) for one in (-1, 1e300, 10**400)),
            ("software", {"version": "v" * 129}),
            ("zone", {"zone": "z\u0000"}),
            ("service", {"service": "s\r\n"}),
            ("models", {"models": [{"name": "m"}] * 65}),
            ("models", {"models": [{"name": "m" * 129}]}),
            ("body", {"stage": "x" * 65536}),
        ]
        for field, changes in cases:
            with self.subTest(field, **{key: str(one)[:40] for key, one in changes.items()}):
                body = json.dumps({**BEAT, **changes}).encode()
                self.assertEqual(read_heartbeat("i-1", body).error.field, field)
        for endpoint_id in ("", "i 1", "i-1\r\nHost: a", "é", "i" * 129):
            fault = read_heartbeat(endpoint_id, json.dumps(BEAT).encode()).error
            self.assertEqual(fault.field, "endpoint_id")

    def test_numbers_and_texts_at_their_bounds(self) -> None:
        changes = {
            "sequence": 2**62 - 1,
            "born": 2**53 - 1,
            "slots": 2**16 - 1,
            "coldRemainingMs": 86_400_000,
            "version": "v" * 128,
            "service": "Norðurljós",
            "models": [{"name": "m" * 128}] * 64,
        }
        for name, value in changes.items():
            with self.subTest(name):
                body = json.dumps({**BEAT, name: value}).encode()
                self.assertTrue(read_heartbeat("i" * 128, body).is_ok())

    def test_fault_names_its_field(self) -> None:
        cases = {
            "body": b"[]",
            "sequence": json.dumps({**BEAT, "sequence": "4"}).encode(),
            "cold_s": json.dumps({**BEAT, "coldRemainingMs": "1"}).encode(),
            "service": json.dumps({k: v for k, v in BEAT.items() if k != "service"}).encode(),
            "address": json.dumps({**BEAT, "address": "a b:80"}).encode(),
            "models": json.dumps({**BEAT, "models": [{}]}).encode(),
        }
        for field, body in cases.items():
            with self.subTest(field):
                self.assertEqual(read_heartbeat("i-1", body).error.field, field)

    def test_departure(self) -> None:
        self.assertIsNone(read_departure("i-1", b"").ok)
        self.assertIsNone(read_departure("i-1", b"{}").ok)
        self.assertEqual(read_departure("i-1", b'{"born": 5}').ok, 5)

    def test_invalid_departures(self) -> None:
        """Guards against a departure that ends a later incarnation than it may be about."""
        for body in (b"what", b"[]", b'{"born": "5"}', b'{"born": -1}', b'{"born": %d}' % 2**100):
            with self.subTest(body):
                self.assertTrue(read_departure("i-1", body).is_error())
        self.assertEqual(read_departure("i 1", b"").error.field, "endpoint_id")


class StubHandler:
    """A replica's handler that returns the preset ``outcome``."""

    def __init__(self) -> None:
        self.outcome: Result[Any, Fault | RedirectTo] = Ok(7)
        self.records: list[EndpointRecord] = []

    def put(self, document: Document, body: bytes) -> Result[int, Fault | RedirectTo]:
        return self.outcome

    def read(self) -> Result[StoredDocument, Fault | RedirectTo]:
        if self.outcome.is_error():
            return self.outcome
        return Ok(StoredDocument(version=7, payload=zlib.compress(make_config())))

    def announce(self, record: EndpointRecord) -> Result[None, Fault]:
        self.records.append(record)
        return Ok(None)

    def leave(self, endpoint_id: str, born: int | None) -> Result[None, Fault]:
        return Ok(None) if self.outcome.is_ok() else Error(self.outcome.error)


class ControlApiTest(unittest.TestCase):
    def setUp(self) -> None:
        self.handler = StubHandler()
        self.bad: list[str] = []
        self.unsound: list[UnsoundRecord] = []
        app = build_control_app(
            handler=self.handler,
            unpack=zlib.decompress,
            report_invalid=lambda what, detail: self.bad.append(what),
            report_unsound=self.unsound.append,
        )
        self.server = WSGIServer(("127.0.0.1", 0), app, log=None)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.http = urllib3.PoolManager(retries=False)
        self.pool = ThreadPool(1)

    def send_request(self, method: str, path: str, body: bytes | None = None) -> Any:
        url = f"http://127.0.0.1:{self.server.server_port}{path}"
        return self.pool.apply(lambda: self.http.request(method, url, body=body, redirect=False))

    def test_configuration(self) -> None:
        answer = self.send_request("PUT", "/config", make_config())
        self.assertEqual((answer.status, json.loads(answer.data)), (200, {"version": 7}))
        answer = self.send_request("GET", "/config")
        self.assertEqual(json.loads(answer.data), json.loads(make_config()))
        answer = self.send_request("PUT", "/config", b"{")
        self.assertEqual(answer.status, 400)
        self.assertEqual(self.bad, ["configuration"])
        self.assertIn("errors", json.loads(answer.data))

    def test_refusals(self) -> None:
        self.handler.outcome = Error(RedirectTo(address="10.0.0.4:8080"))
        for method, body in (("PUT", make_config()), ("GET", None)):
            answer = self.send_request(method, "/config", body)
            self.assertEqual(answer.status, 307)
            self.assertEqual(answer.headers["Location"], "http://10.0.0.4:8080/config")
        fault = Fault(code="no_leader", message="no", status=503, retry_after_s=0.3)
        self.handler.outcome = Error(fault)
        answer = self.send_request("GET", "/config")
        self.assertEqual((answer.status, answer.headers["Retry-After"]), (503, "0.3"))
        self.assertEqual(self.send_request("DELETE", "/instances/i-1").status, 503)

    def test_document_is_read_from_a_router(self) -> None:
        """A replica redirects the operator to a router, which serves that version or newer.

        A router that has only an older version answers 503.
        """
        self.handler.outcome = Error(RedirectTo(address="10.0.0.9:8220", min_version=7))
        answer = self.send_request("GET", "/config")
        self.assertEqual(answer.headers["Location"], "http://10.0.0.9:8220/config?version=7")
        app = Bottle()
        add_document_route(app, lambda version: b"{}" if version <= 7 else None)
        self.server.application = app
        answer = self.send_request("GET", "/config?version=7")
        self.assertEqual((answer.status, answer.data), (200, b"{}"))
        for query in ("?version=8", "?version=x", ""):
            self.assertEqual(self.send_request("GET", "/config" + query).status, 503)

    def test_endpoints(self) -> None:
        answer = self.send_request("PUT", "/instances/i-1", json.dumps(BEAT).encode())
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.handler.records[0].endpoint_id, "i-1")
        self.assertEqual(self.send_request("PUT", "/instances/i-1", b"x").status, 400)
        (unsound,) = self.unsound
        self.assertEqual(
            (unsound.writer, unsound.endpoint_id, unsound.fault.field),
            ("127.0.0.1", "i-1", "body"),
        )
        self.assertEqual(self.send_request("DELETE", "/instances/i-1").status, 200)
        answer = self.send_request("DELETE", "/instances/i-1", b'{"born": "5"}')
        self.assertEqual((answer.status, self.unsound[1].fault.field), (400, "born"))
        answer = self.send_request("PUT", "/instances/i%0d%0a1", json.dumps(BEAT).encode())
        self.assertEqual((answer.status, self.unsound[2].fault.field), (400, "endpoint_id"))
        answer = self.send_request(
            "PUT", "/instances/i-1", b" " * 10**6 + json.dumps(BEAT).encode()
        )
        self.assertEqual((answer.status, self.unsound[3].fault.field), (400, "body"))
        answer = self.send_request("PUT", "/instances/i-1", json.dumps(BEAT).encode())
        self.assertEqual((answer.status, len(self.handler.records)), (200, 2))


if __name__ == "__main__":
    unittest.main()

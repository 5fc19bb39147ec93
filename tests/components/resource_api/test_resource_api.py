"""Tests of the resource API with a store but without a replicated log."""

import dataclasses
import json
import unittest
from collections.abc import Iterator
from typing import Any

import gevent
from expression import Error, Ok, Result

from chivetrack.components.configuration.models import ConfigurationSettings, DatedConfirmation
from chivetrack.components.configuration.view import ConfigView
from chivetrack.components.resource_api import const
from chivetrack.components.resource_api.app import build_app
from chivetrack.components.resource_api.models import ObservedResource, Ports
from chivetrack.components.resource_api.openapi import make_openapi
from chivetrack.components.resource_api.operations import OPERATIONS
from chivetrack.components.resource_api.operators import make_operator_check
from chivetrack.components.resources.keys import hash_key
from chivetrack.components.resources.kinds import KINDS
from chivetrack.components.store.commands import AddFinalizer, Command, Replace, Stamp, stamp_time
from chivetrack.components.store.outcomes import Outcome
from chivetrack.components.store.queries import Answer, Query, answer_query
from chivetrack.components.store.store import Store
from chivetrack.components.store.table import ResourceTable
from chivetrack.exceptions import Fault, Ran
from chivetrack.helpers.codec import pack, unpack
from tests.components.resource_api.client import TOKEN, Client, Response

NO_LEADER = Fault(code="no_leader", message="no leader", status=503, retry_after_s=2.4)
LOST = Fault(code="timeout", message="no answer", status=503, ran=Ran.MAYBE)


def make_limit(name: str, rate: Any = 1, **metadata: Any) -> Any:
    return {"kind": "limit", "metadata": {"name": name, **metadata}, "spec": {"rate": rate}}


class ApiTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store(table=ResourceTable(history_changes=20))
        self.fault_before: Fault | None = None
        self.fault_after: Fault | None = None
        self.before_submit: list[Command] = []
        settings = ConfigurationSettings()
        self.view = ConfigView(table=self.store.table, settings=settings, started_at=0.0)
        held = DatedConfirmation(term=1, counter=1, revision=0, obtained_at=0.0)
        self.view.freshness.add_confirmation(held, revision=0)
        spec = {"address": "127.0.0.1:1", "service": "s", "region": "r", "zone": "z"}
        engine = ObservedResource(name="e1", spec=spec, status={"load": 3})
        other = ObservedResource(name="e2", spec=spec)
        self.ports = Ports(
            submit=self.submit,
            read=self.read,
            view=self.view,
            check_operator=make_operator_check([hash_key(TOKEN)]),
            observed={"endpoint": lambda: [other, engine]},
            bookmark_interval_s=0.001,
        )
        self.app = build_app(self.ports)
        self.client = Client(self.app)

    def apply(self, command: Command) -> Outcome:
        index = self.store.index + 1
        outcome = unpack(self.store.apply(index, pack(stamp_time(command, 1000 * index))))
        assert isinstance(outcome, Outcome)
        return outcome

    def submit(self, command: Command) -> Result[Outcome, Fault]:
        if self.fault_before is not None:
            return Error(self.fault_before)
        if self.before_submit:
            self.apply(self.before_submit.pop(0))
        outcome = self.apply(command)
        return Ok(outcome) if self.fault_after is None else Error(self.fault_after)

    def read(self, query: Query) -> Result[Answer, Fault]:
        return Ok(answer_query(self.store, query))

    def create(self, name: str, rate: Any = 1) -> Response:
        return self.client.call("POST", "/api/v1/limit", make_limit(name, rate))


class OperationTest(ApiTestCase):
    def test_faults(self) -> None:
        self.create("a")
        limit = "/api/v1/limit"
        large = b" " * (const.MAX_BODY_BYTES + 1)
        chunked = {"Transfer-Encoding": "chunked"}
        bad_id = {const.REQUEST_ID_HEADER: "a b"}
        patch_name = {"metadata": {"nam": "b"}, "stat": {}}
        table: list[tuple[str, str, Any, dict[str, str], int, str]] = [
            ("GET", f"{limit}/b", None, {}, 404, "not_found"),
            ("GET", "/api/v1/limitt", None, {}, 404, "unknown_kind"),
            ("GET", "/api/v2/limit", None, {}, 404, "unknown_path"),
            ("GET", f"{limit}?limit=0", None, {}, 400, "invalid_parameter"),
            ("GET", f"{limit}?limit=x", None, {}, 400, "invalid_parameter"),
            ("GET", f"{limit}?continue=x", None, {}, 400, "invalid_parameter"),
            ("GET", f"{limit}?watch=true&revision=x", None, {}, 400, "invalid_parameter"),
            ("GET", "/api/v1/endpoint?watch=true", None, {}, 400, "not_watchable"),
            ("GET", "/api/v1/endpoint/e9", None, {}, 404, "not_found"),
            ("POST", "/api/v1/endpoint", {}, {}, 405, "read_only"),
            ("POST", limit, make_limit("a"), {}, 409, "already_exists"),
            ("POST", limit, b"{", {}, 400, "invalid_json"),
            ("POST", limit, large, {}, 413, "too_large"),
            ("POST", limit, make_limit("b"), chunked, 411, "length_required"),
            ("POST", limit, make_limit("b"), bad_id, 400, "invalid_request_id"),
            ("POST", limit, make_limit("b", "x"), {}, 422, "invalid_document"),
            ("POST", "/api/v1/drain", make_limit("b"), {}, 422, "invalid_document"),
            ("PUT", f"{limit}/b", make_limit("b"), {}, 404, "not_found"),
            ("PUT", f"{limit}/b", make_limit("a"), {}, 422, "invalid_document"),
            ("PUT", f"{limit}/a", make_limit("a"), {"If-Match": "x"}, 400, "invalid_precondition"),
            ("PUT", f"{limit}/a", make_limit("a", 2), {"If-Match": '"0"'}, 409, "conflict"),
            ("PUT", f"{limit}/a", make_limit("a", 2, revision=0), {}, 409, "conflict"),
            ("PATCH", f"{limit}/b", {"spec": {"rate": 2}}, {}, 404, "not_found"),
            ("PATCH", f"{limit}/a", {"spec": {"rat": 2}}, {}, 422, "invalid_document"),
            ("PATCH", f"{limit}/a", {"spec": 3}, {}, 422, "invalid_patch"),
            ("PATCH", f"{limit}/a", [], {}, 422, "invalid_patch"),
            ("PATCH", f"{limit}/a", {"metadata": 3}, {}, 422, "invalid_document"),
            ("PATCH", f"{limit}/a", patch_name, {}, 422, "invalid_document"),
            ("PATCH", f"{limit}/a", {"spec": {"rate": 2}}, {"If-Match": "0"}, 409, "conflict"),
            ("DELETE", f"{limit}/b", None, {}, 404, "not_found"),
            ("DELETE", f"{limit}/a", None, {"If-Match": "0"}, 409, "conflict"),
        ]
        before = self.store.revision
        for method, path, body, headers, status, code in table:
            with self.subTest(method=method, path=path, code=code):
                response = self.client.call(method, path, body, headers=headers)
                self.assertEqual((response.status, response.code), (status, code))
                self.assertEqual(response.body["error"]["ran"], "no")
        self.assertEqual(self.store.revision, before)

    def test_only_operators(self) -> None:
        for method, path in [("GET", "limit"), ("GET", "limit/a"), ("DELETE", "limit/a")]:
            for token in ("", "x", TOKEN + "x"):
                with self.subTest(method=method, path=path, token=token):
                    response = self.client.call(method, f"/api/v1/{path}", token=token)
                    self.assertEqual((response.status, response.code), (401, "unauthorized"))

    def test_lifecycle_of_a_resource(self) -> None:
        created = self.create("a")
        self.assertEqual((created.status, created.headers["Etag"]), (201, '"1"'))
        read = self.client.call("GET", "/api/v1/limit/a")
        self.assertEqual(read.body, created.body)
        read.body["spec"]["rate"] = 2
        replaced = self.client.call("PUT", "/api/v1/limit/a", read.body)
        self.assertEqual(replaced.body["metadata"]["generation"], 2)
        patch = {"metadata": {"labels": {"team": "blue"}}}
        patched = self.client.call("PATCH", "/api/v1/limit/a", patch)
        self.assertEqual(patched.body["spec"], {"rate": 2})
        self.apply(AddFinalizer(Stamp(0), "limit", "a", "f"))
        marked = self.client.call("DELETE", "/api/v1/limit/a")
        self.assertEqual((marked.status, "deleting" in marked.body["metadata"]), (202, True))
        self.create("b")
        deleted = self.client.call("DELETE", "/api/v1/limit/b", headers={"If-Match": "6"})
        self.assertEqual((deleted.status, deleted.body["deleted"]), (200, True))

    def test_all_findings_are_reported_together(self) -> None:
        document = {"kind": "limit", "metadata": {"nam": "a"}, "spec": {"rat": 1, "rate": "x"}}
        response = self.client.call("POST", "/api/v1/limit", document)
        findings = {f["place"]: f["hint"] for f in response.body["error"]["findings"]}
        self.assertEqual(
            findings,
            {
                "metadata.name": None,
                "metadata.nam": "did you mean 'name'?",
                "spec.rat": "did you mean 'rate'?",
                "spec.rate": None,
            },
        )

    def test_key_of_another_workspace(self) -> None:
        document = {
            "kind": "workspace",
            "metadata": {"name": "a"},
            "spec": {"keys": [hash_key(TOKEN)]},
        }
        self.client.call("POST", "/api/v1/workspace", document)
        same = self.client.call("PUT", "/api/v1/workspace/a", document)
        self.assertEqual(same.status, 200)
        other = {**document, "metadata": {"name": "b"}}
        refused = self.client.call("POST", "/api/v1/workspace", other)
        self.assertEqual(refused.body["error"]["findings"][0]["place"], "spec.keys[0]")
        self.client.call("POST", "/api/v1/workspace", {**other, "spec": {}})
        patch = {"spec": document["spec"]}
        refused = self.client.call("PATCH", "/api/v1/workspace/b", patch)
        self.assertEqual(refused.body["error"]["findings"][0]["place"], "spec.keys[0]")

    def test_resend_after_the_key_has_moved(self) -> None:
        """A create was accepted, its answer lost, and its key moved to another workspace.

        If the check against other workspaces refused the resend, the caller would conclude
        that the create was never executed.
        """
        spec = {"keys": [hash_key(TOKEN)]}
        document = {"kind": "workspace", "metadata": {"name": "a"}, "spec": spec}
        headers = {const.REQUEST_ID_HEADER: "id"}
        first = self.client.call("POST", "/api/v1/workspace", document, headers=headers)
        self.client.call("DELETE", "/api/v1/workspace/a")
        other = {**document, "metadata": {"name": "b"}}
        self.client.call("POST", "/api/v1/workspace", other)
        resent = self.client.call("POST", "/api/v1/workspace", document, headers=headers)
        self.assertEqual((resent.status, resent.body), (201, first.body))

    def test_conflict_returns_the_current_resource(self) -> None:
        """Two operators read revision 1 and both replace it; the second gets 409."""
        self.create("a")
        headers = {"If-Match": "1"}
        self.client.call("PUT", "/api/v1/limit/a", make_limit("a", 2), headers=headers)
        lost = self.client.call("PUT", "/api/v1/limit/a", make_limit("a", 3), headers=headers)
        self.assertEqual(lost.status, 409)
        self.assertEqual(lost.body["error"]["current"]["spec"], {"rate": 2})

    def test_outcome_unknown_then_resent(self) -> None:
        """The change is committed, but the answer is lost.

        The error must not claim that the change was not made. A resend with the same
        request id returns the first answer, for each kind of write.
        """
        self.create("a")
        table: list[tuple[str, str, Any, int]] = [
            ("POST", "limit", make_limit("b"), 201),
            ("PUT", "limit/a", make_limit("a", 5), 200),
            ("PATCH", "limit/a", {"spec": {"concurrency": 3}}, 200),
            ("DELETE", "limit/a", None, 200),
        ]
        for method, path, body, status in table:
            with self.subTest(method):
                headers = {const.REQUEST_ID_HEADER: f"id-{method}"}
                path = f"/api/v1/{path}"
                self.fault_after = LOST
                unknown = self.client.call(method, path, body, headers=headers)
                error = unknown.body["error"]
                self.assertEqual((unknown.status, error["code"]), (504, "outcome_unknown"))
                self.assertEqual((error["ran"], unknown.headers["Retry-After"]), ("maybe", "1"))
                self.fault_after = None
                revision = self.store.revision
                resent = self.client.call(method, path, body, headers=headers)
                self.assertEqual(resent.status, status, resent.body)
                self.assertEqual(resent.body["metadata"]["revision"], revision)
                self.assertEqual(self.store.revision, revision)

    def test_patch_resent_after_a_deletion(self) -> None:
        """A patch is committed, its answer lost, and then the resource is deleted.

        The resend must get the answer of the patch; with 404 the caller would conclude
        that the patch was never applied.
        """
        self.create("a")
        headers = {const.REQUEST_ID_HEADER: "id"}
        patch = {"spec": {"concurrency": 3}}
        first = self.client.call("PATCH", "/api/v1/limit/a", patch, headers=headers)
        self.client.call("DELETE", "/api/v1/limit/a")
        resent = self.client.call("PATCH", "/api/v1/limit/a", patch, headers=headers)
        self.assertEqual((resent.status, resent.body), (200, first.body))

    def test_fault_before_the_commit(self) -> None:
        self.fault_before = NO_LEADER
        response = self.create("a")
        error = response.body["error"]
        self.assertEqual((response.status, error["code"], error["ran"]), (503, "no_leader", "no"))
        self.assertEqual((error["retry_after_s"], response.headers["Retry-After"]), (2.4, "2"))

    def test_exception_leaves_the_outcome_open(self) -> None:
        def submit_and_raise(command: Command) -> Result[Outcome, Fault]:
            raise RuntimeError("lost the stream after the command was sent")

        app = build_app(
            Ports(
                submit=submit_and_raise,
                read=self.read,
                view=self.view,
                check_operator=self.ports.check_operator,
            )
        )
        body = make_limit("a")
        response = Client(app).call("POST", "/api/v1/limit", body, documented=False)
        self.assertEqual((response.status, response.body["error"]["ran"]), (500, "maybe"))

    def test_request_id_with_another_body(self) -> None:
        headers = {const.REQUEST_ID_HEADER: "id"}
        self.client.call("POST", "/api/v1/limit", make_limit("a"), headers=headers)
        other = self.client.call("POST", "/api/v1/limit", make_limit("b"), headers=headers)
        self.assertEqual((other.status, other.code), (422, "request_id_reused"))

    def test_patch_is_retried_after_another_write(self) -> None:
        """Another operator writes between the read and the commit of a patch."""
        self.create("a")
        spec = self.store.table.get("limit", "a")
        assert spec is not None
        other = b"\x81\xabconcurrency\x07"
        for headers in ({}, {const.REQUEST_ID_HEADER: "id"}):
            with self.subTest(headers=headers):
                self.before_submit = [Replace(Stamp(0), "limit", "a", other)]
                patch = {"spec": {"rate": 9}}
                response = self.client.call("PATCH", "/api/v1/limit/a", patch, headers=headers)
                self.assertEqual(response.body["spec"], {"concurrency": 7, "rate": 9})
                self.client.call("PUT", "/api/v1/limit/a", make_limit("a"))
        resent = self.client.call("PATCH", "/api/v1/limit/a", patch, headers=headers)
        self.assertEqual(resent.status, 200)
        self.assertEqual(resent.body["spec"], {"concurrency": 7, "rate": 9})


class ListTest(ApiTestCase):
    def list_names(self, path: str) -> Iterator[tuple[list[str], int]]:
        token = ""
        while token is not None:
            body = self.client.call("GET", f"{path}?limit=2&continue={token}").body
            yield [item["metadata"]["name"] for item in body["items"]], body["revision"]
            token = body["continue"]

    def test_pages(self) -> None:
        """Deleting a resource between two pages does not make the list skip another one."""
        for name in ("c", "a", "e", "b", "d"):
            self.create(name)
        pages = self.list_names("/api/v1/limit")
        self.assertEqual(next(pages), (["a", "b"], 5))
        self.client.call("DELETE", "/api/v1/limit/b")
        self.assertEqual(list(pages), [(["c", "d"], 5), (["e"], 5)])

    def test_observed_kinds(self) -> None:
        names = [names for names, _ in self.list_names("/api/v1/endpoint")]
        self.assertEqual(names, [["e1", "e2"]])
        endpoint = self.client.call("GET", "/api/v1/endpoint/e1").body
        self.assertEqual(endpoint["status"], {"load": 3})


class WatchTest(ApiTestCase):
    def watch(self, revision: int | None = None) -> Iterator[Any]:
        parameter = "" if revision is None else f"&revision={revision}"
        response = self.client.call("GET", f"/api/v1/limit?watch=true{parameter}", stream=True)
        assert response.lines is not None, response
        for chunk in response.lines:
            for line in chunk.splitlines():
                yield json.loads(line)

    def test_resumes_from_a_revision(self) -> None:
        self.create("a")
        self.create("b")
        self.client.call("DELETE", "/api/v1/limit/a")
        watch = self.watch(1)
        events = [next(watch) for _ in range(3)]
        self.assertEqual([event["type"] for event in events], ["bookmark", "changed", "deleted"])
        self.assertEqual([event["revision"] for event in events], [1, 2, 3])
        self.assertEqual(events[1]["resource"]["spec"], {"rate": 1})
        self.assertEqual(next(watch), {"type": "bookmark", "revision": 3})
        self.create("c")
        self.assertEqual(next(watch)["resource"]["metadata"]["name"], "c")

    def test_starts_at_the_current_revision(self) -> None:
        self.create("a")
        watch = self.watch()
        self.assertEqual(next(watch), {"type": "bookmark", "revision": 1})

    def test_compacted_before_it_starts(self) -> None:
        for number in range(30):
            self.create(f"l{number}")
        response = self.client.call("GET", "/api/v1/limit?watch=true&revision=1")
        self.assertEqual((response.status, response.code), (410, "compacted"))

    def test_stream_of_a_slow_watcher_ends(self) -> None:
        """A watcher stops reading while more changes are made than the history keeps.

        Queued for the watcher, the changes would fill the router's memory. Instead its
        stream ends with an error, and it must list again.
        """
        watch = self.watch(0)
        self.assertEqual(next(watch)["type"], "bookmark")
        for number in range(30):
            self.create(f"l{number}")
        last = list(watch)[-1]
        self.assertEqual((last["type"], last["error"]["code"]), ("error", "compacted"))

    def test_a_change_wakes_a_waiting_watcher(self) -> None:
        ports = dataclasses.replace(self.ports, bookmark_interval_s=60.0)
        self.client = Client(build_app(ports))
        watch = self.watch(0)
        self.assertEqual(next(watch)["type"], "bookmark")
        writer = gevent.spawn(self.create, "a")
        self.assertEqual(next(watch)["type"], "changed")
        writer.get()

    def test_leaves_no_subscription(self) -> None:
        before = len(self.store.table._subscribers)
        response = self.client.call("GET", "/api/v1/limit?watch=true", stream=True)
        assert response.lines is not None
        next(iter(response.lines))
        self.assertEqual(len(self.store.table._subscribers), before + 1)
        response.lines.close()
        self.assertEqual(len(self.store.table._subscribers), before)


class OpenApiTest(ApiTestCase):
    def test_document_and_routes_agree(self) -> None:
        """Every documented operation has a handler, and every handler is documented."""
        document = make_openapi()
        documented = {
            (method.upper(), path)
            for path, operations in document["paths"].items()
            for method in operations
        }
        expected = set()
        for route in self.app.routes:
            for kind in KINDS.values():
                if "<kind>" not in route.rule or (route.method != "GET" and not kind.stored):
                    continue
                path = route.rule.replace("<kind>", kind.name).replace("<name>", "{name}")
                expected.add((route.method, path))
        self.assertEqual(documented, expected)
        self.assertEqual(len(self.app.routes), len(OPERATIONS) + 1)

    def test_every_documented_operation_answers(self) -> None:
        for path, operations in make_openapi()["paths"].items():
            for method in operations:
                with self.subTest(method=method, path=path):
                    response = self.client.call(method.upper(), path.format(name="none"))
                    self.assertNotEqual(response.status, 405)

    def test_references_resolve(self) -> None:
        served = self.client.call("GET", "/api/v1/openapi.json").body
        text = json.dumps(served)
        for reference in set(text.split('"$ref": "')[1:]):
            name = reference.split('"')[0]
            self.assertIn(
                name.removeprefix("#/components/schemas/"), served["components"]["schemas"]
            )
        self.assertNotIn("$defs", text)

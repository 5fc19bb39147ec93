"""Tests for finding routes and workspaces and for validating documents."""

import unittest

from chivetrack.components.traffic.models import Share, Workspace
from chivetrack.components.traffic.table import RouteTable
from chivetrack.components.traffic.validation import check_document
from tests.components.traffic.documents import make_document, make_route


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_of_the_host(self) -> None:
        routes = [
            make_route("root", "/"),
            make_route("a", "/a/"),
            make_route("ab", "/a/b/"),
            make_route("other", "/a/", host="two.example"),
        ]
        table = RouteTable(document=make_document(1, *routes))
        cases = [
            ("one.example", "/a/b/c", "ab"),
            ("one.example", "/a/b/", "ab"),
            ("one.example", "/a/b", "a"),
            ("ONE.example:8080", "/a/x/y", "a"),
            ("one.example", "/ab", "root"),
            ("two.example", "/a/b/c", "other"),
        ]
        for host, path, name in cases:
            route = table.find_route(host, path)
            assert route is not None
            self.assertEqual(route.name, name, (host, path))
        self.assertIsNone(table.find_route("two.example", "/b/"))
        self.assertIsNone(table.find_route("three.example", "/a/"))
        self.assertIsNone(table.find_route("two.example", "a"))

    def test_keys(self) -> None:
        table = RouteTable(document=make_document())
        workspace = table.find_workspace("k2")
        assert workspace is not None
        self.assertEqual(workspace.name, "w")
        self.assertIsNone(table.find_workspace(""))
        self.assertTrue(table.needs_keys)
        self.assertFalse(RouteTable(document=make_document(workspaces=None)).needs_keys)


class CheckDocumentTest(unittest.TestCase):
    def test_all_findings_together(self) -> None:
        """An operator's document has five faults, and one check reports all of them.

        If faults were reported one at a time, each fix would need another attempt, and each
        attempt would use up a version number.
        """
        document = make_document(
            1,
            make_route("none", "/a/", timeout_s=0.0),
            make_route("same", "/a/"),
            make_route("unknown", "/b/", shares=(Share(service="portall", weight=1.0),)),
            make_route("weights", "/c/", shares=(Share(service="portal", weight=0.0),)),
            workspaces=(Workspace(name="w", keys=("k",)), Workspace(name="v", keys=("k",))),
        )
        findings = check_document(document)
        places = sorted(finding.place for finding in findings)
        self.assertEqual(
            places,
            [
                "routes[0].timeout",
                "routes[1]",
                "routes[2].shares",
                "routes[3].shares",
                "workspaces[1]",
            ],
        )

    def test_valid_document_has_no_findings(self) -> None:
        self.assertEqual(len(check_document(make_document())), 0)


if __name__ == "__main__":
    unittest.main()

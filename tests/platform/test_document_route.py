"""Tests of the call by which a router serves its document."""

import unittest
from typing import Any

from chivetrack.platform.control_api import add_document_route, make_app


class DocumentRouteTest(unittest.TestCase):
    def read(self, query: str) -> str:
        app = make_app()
        add_document_route(app, lambda version: b"{}" if version <= 7 else None)
        statuses: list[str] = []
        environ: dict[str, Any] = {
            "REQUEST_METHOD": "GET",
            "PATH_INFO": "/config",
            "QUERY_STRING": query,
        }
        app(environ, lambda status, headers, *_: statuses.append(status))
        return statuses[0][:3]

    def test_document_of_a_sufficient_version_is_served(self) -> None:
        self.assertEqual((self.read("version=7"), self.read("version=8")), ("200", "503"))

    def test_version_that_is_no_number_gets_no_document(self) -> None:
        """Guards against a 500 for a version that only looks like a number."""
        for query in ("version=%C2%B2", "version=" + "9" * 5000, ""):
            with self.subTest(query[:20]):
                self.assertEqual(self.read(query), "503")


if __name__ == "__main__":
    unittest.main()

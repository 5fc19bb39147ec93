"""Tests of the callers' listener that is opened before the router is loaded."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from chivetrack.daemon.fleet.early import ENV_SETTINGS, open_callers_listener

SCRIPT = """
import json, sys
from chivetrack.daemon.fleet.early import open_callers_listener
listener = open_callers_listener()
heavy = [name for name in ("gevent", "grpc", "pydantic", "typer") if name in sys.modules]
print(json.dumps({"address": listener.getsockname(), "heavy": heavy}))
"""


class EarlyListenerTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.settings = Path(folder) / "router.toml"

    def open(self, text: str) -> socket.socket | None:
        self.settings.write_text(text)
        with mock.patch.dict(os.environ, {ENV_SETTINGS: str(self.settings)}):
            listener = open_callers_listener()
        if listener is not None:
            self.addCleanup(listener.close)
        return listener

    def test_listener_opens_before_heavy_modules_are_loaded(self) -> None:
        """Guards against connections that are reset while a killed router starts again.

        Imports take nearly all of a start. If the listener were opened after them, every
        connection until then would be reset, which uses up the callers' few retries.
        """
        self.settings.write_text('[listeners]\ncallers = "127.0.0.1:0"\n')
        answer = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            env={**os.environ, ENV_SETTINGS: str(self.settings)},
            capture_output=True,
            check=True,
            timeout=60,
        )
        reported = json.loads(answer.stdout)
        self.assertEqual(reported["heavy"], [])
        self.assertEqual(reported["address"][0], "127.0.0.1")

    def test_caller_is_queued(self) -> None:
        listener = self.open('[listeners]\ncallers = "127.0.0.1:0"\n')
        assert listener is not None
        with socket.create_connection(listener.getsockname(), timeout=5) as caller:
            caller.sendall(b"GET")
            accepted, _ = listener.accept()
            with accepted:
                self.assertEqual(accepted.recv(3), b"GET")

    def test_settings_without_a_usable_callers_address(self) -> None:
        """Replicas have no such listener; the start itself reports errors in settings."""
        taken = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        port = taken.getsockname()[1]
        for text in (
            '[listeners]\npeer = "127.0.0.1:1"\n',
            "[listeners]\ncallers = 5\n",
            '[listeners]\ncallers = "127.0.0.1:x"\n',
            "not toml",
            "",
            f'[listeners]\ncallers = "127.0.0.1:{port}"\n',
        ):
            self.assertIsNone(self.open(text), text)
        with mock.patch.dict(os.environ, {ENV_SETTINGS: str(self.settings) + "-missing"}):
            self.assertIsNone(open_callers_listener())
        with mock.patch.dict(os.environ):
            os.environ.pop(ENV_SETTINGS, None)
            self.assertIsNone(open_callers_listener())


if __name__ == "__main__":
    unittest.main()

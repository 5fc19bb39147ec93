"""Endpoints that answer uploads before they have read them, over processes."""

import random
import socket
import time
import unittest

from tests.system.deployment import (
    Deployment,
    Endpoint,
    EndpointHandler,
    keep_announced,
    make_config,
    open_deployment,
)
from tests.system.streams import run_together

SEED = 76
UPLOADS = (600, 20_000, 60_000, 400_000, 2_000_000)
BODY = b"x" * 8_000
SENT = 3_000
READ_SIZES = (0, 0, 500)
PAUSES_S = (0.0, 0.0, 0.02)
CALLERS = 6
CALLS = 60


class EarlyHandler(EndpointHandler):
    """Reads a part of some uploads, sends a part of its answer and closes."""

    # What isn't read stays in the socket.
    rbufsize = 0

    def _read_body(self) -> bytes:
        if not self.path.endswith("late"):
            return b""
        body = b""
        size = int(self.headers.get("Content-Length", 0))
        while len(body) < size and (data := self.rfile.read(size - len(body))):
            body += data
        return body

    def _serve(self, body: bytes) -> None:
        if body:
            self._send(BODY)
            return
        chooser = random.Random(self.headers.get("X-Chivetrack-Attempt-Id"))
        self.rfile.read(chooser.choice(READ_SIZES))
        self._send(BODY[:SENT])
        time.sleep(chooser.choice(PAUSES_S))

    def _send(self, body: bytes) -> None:
        self.send_response(200)
        self.send_header("X-Chivetrack-Server-Seal", "seal")
        self._echo_id()
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()
        # The connection ends here, with a reset if bytes are left unread.
        self.close_connection = True


class AbruptEndpoint(Endpoint):
    """Closes its connections without ending the answer in order first."""

    def shutdown_request(self, request: socket.socket | tuple[bytes, socket.socket]) -> None:
        """Close at once, where the class of the library ends its side before."""
        assert isinstance(request, socket.socket)
        self.close_request(request)


class EarlyAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment: Deployment = self.enterContext(open_deployment(replicas=1, routers=2))
        self.deployment.start_all()
        host = f"{self.deployment.network}.201"
        endpoint = AbruptEndpoint(host=host, name="i-1", service="portal", handler=EarlyHandler)
        self.addCleanup(endpoint.server_close)
        self.addCleanup(endpoint.shutdown)
        document = make_config(1)
        document["limits"] = {"maxBodyBytes": 4_194_304}
        self.deployment.put(document)
        self.enterContext(keep_announced(self.deployment, endpoint))
        for router in self.deployment.list_names("r"):
            self.deployment.wait_served(router, "/a/late")

    def play(self, path: str) -> list[tuple[int, int, int]]:
        """Return the size of the upload, the status and the size of each answer."""
        answers: list[tuple[int, int, int]] = []

        def call(number: int) -> None:
            chooser = random.Random(SEED + number)
            for _ in range(CALLS):
                upload = chooser.choice(UPLOADS)
                router = chooser.choice(self.deployment.list_names("r"))
                status, body = self.deployment.call(router, path, body=b"u" * upload)
                answers.append((upload, status, len(body)))

        run_together([lambda number=number: call(number) for number in range(CALLERS)])
        return answers

    def test_part_of_an_early_answer_is_no_success(self) -> None:
        """Guards against a part of an answer that a caller gets as a whole one."""
        answers = self.play("/a/early")
        self.assertEqual([one for one in answers if one[1] == 200], [])
        self.assertEqual(len(answers), CALLERS * CALLS)

    def test_answer_without_a_length_to_a_whole_request_is_served(self) -> None:
        """Guards against sound answers without a length that no caller gets any more."""
        answers = self.play("/a/late")
        self.assertEqual({one[1:] for one in answers}, {(200, len(BODY))})


if __name__ == "__main__":
    unittest.main()

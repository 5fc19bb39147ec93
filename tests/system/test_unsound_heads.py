"""Endpoints whose answers have unsound heads, over processes."""

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
from tests.system.fleets import NotReachedError

BODY = b"not to be seen"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
SOUND = "HTTP/1.1 200 OK"
TRIES = 40
PAUSE_S = 0.2
FINAL_STATUSES = (502, 503, 504)
# A status line, and a header line beside the sound ones.
HEADS: dict[str, tuple[str, str]] = {
    "zeros": ("HTTP/1.1 000 OK", ""),
    "zeros-alone": ("HTTP/1.1 000", ""),
    "two-digits": ("HTTP/1.1 20 OK", ""),
    "four-digits": ("HTTP/1.1 2000 OK", ""),
    "six-hundred": ("HTTP/1.1 600 OK", ""),
    "blank-in-name": (SOUND, "X Name: value"),
    "blank-behind-name": (SOUND, "Content-Length : 3"),
    "tab-in-name": (SOUND, "X\tName: value"),
    "zero-byte-in-name": (SOUND, "X\0Name: value"),
    "control-byte-in-name": (SOUND, "X\x01Name: value"),
    "delete-in-name": (SOUND, "X\x7fName: value"),
    "control-byte-in-value": (SOUND, "X-Name: val\x01ue"),
    "control-byte-in-length": (SOUND, "Content-Length\x01: 3"),
}


class UnsoundHandler(EndpointHandler):
    """Answers with the head that the path names, behind an interim answer if it says so."""

    def _serve(self, body: bytes) -> None:
        _, _, place, name = self.path.split("/")
        if name == "sound":
            super()._serve(body)
            return
        self.server.seen.append((self.path, {}))
        status_line, line = HEADS[name]
        attempt = self.headers.get("X-Chivetrack-Attempt-Id", "")
        lines = [
            status_line,
            "X-Chivetrack-Server-Seal: seal",
            f"X-Chivetrack-Attempt-Id: {attempt}",
            *([line] if line else []),
            f"Content-Length: {len(BODY)}",
        ]
        if place == "interim":
            self.wfile.write(INTERIM)
        self.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\n" + BODY)
        self.close_connection = True


class UnsoundHeadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment: Deployment = self.enterContext(open_deployment(replicas=1, routers=1))
        self.deployment.start_all()
        host = f"{self.deployment.network}.201"
        self.endpoint = Endpoint(host=host, name="i-1", service="portal", handler=UnsoundHandler)
        self.addCleanup(self.endpoint.server_close)
        self.addCleanup(self.endpoint.shutdown)
        self.deployment.put(make_config(1))
        self.enterContext(keep_announced(self.deployment, self.endpoint))
        self.deployment.wait_served("r1", "/a/first/sound")

    def call_until_seen(self, path: str) -> list[tuple[int, bytes]]:
        """Send a request until the endpoint has answered one; return all answers.

        Routers give an endpoint that answers like this a rest.
        """
        answers = []
        before = len(self.endpoint.seen)
        for _ in range(TRIES):
            answers.append(self.deployment.call("r1", path))
            if any(seen[0] == path for seen in self.endpoint.seen[before:]):
                return answers
            time.sleep(PAUSE_S)
        raise NotReachedError(f"{path} did not reach the endpoint")

    def test_unsound_head_is_no_answer(self) -> None:
        """Guards against a status or a name of a field that no endpoint may send."""
        wrong = [
            (name, place, answer)
            for name in HEADS
            for place in ("first", "interim")
            for answer in self.call_until_seen(f"/a/{place}/{name}")
            if answer[0] not in FINAL_STATUSES or BODY in answer[1]
        ]
        self.assertEqual(wrong, [])


if __name__ == "__main__":
    unittest.main()

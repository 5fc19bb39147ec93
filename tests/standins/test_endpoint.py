"""Tests of the stand-in engine with many concurrent callers."""

import json
import unittest
from concurrent.futures import ThreadPoolExecutor

from standins.fleet import Fleet, Member, open_fleet

CALLERS = 32
CHATS = 128


def send_chat(fleet: Fleet, engine: Member, number: int) -> tuple[int, str, str]:
    """Send one chat; return the status, the echoed request id and the answer's text."""
    value = {"model": "m", "messages": [{"role": "user", "content": f"text {number}"}]}
    headers = {"X-Request-Id": f"r{number}", "X-Chat-Id": f"chat {number}"}
    response = fleet.request(
        "POST", engine, "/v1/chat/completions", body=json.dumps(value), headers=headers
    )
    if response.status != 200:
        return response.status, "", ""
    content = response.json()["choices"][0]["message"]["content"]
    return 200, response.headers["X-Request-Id"], content


class ConcurrentCallersTest(unittest.TestCase):
    def test_each_answer_names_its_own_request(self) -> None:
        """Guards against concurrent requests that share their body and id.

        When gevent patched the process after bottle was imported, a request read body and id
        of the latest request: callers got HTML errors and waited for half a minute, and a
        router refused every answer with a wrong id.
        """
        with open_fleet() as fleet:
            engine = fleet.start_endpoint("engine-1", "--tokens", "1", "--token-ms", "5")
            with ThreadPoolExecutor(CALLERS) as workers:
                answers = list(workers.map(lambda n: send_chat(fleet, engine, n), range(CHATS)))
            log = engine.read_log()
        for number, answer in enumerate(answers):
            self.assertEqual(answer, (200, f"r{number}", f"chat {number}/text {number}/0 "))
        self.assertNotIn("MonkeyPatchWarning", log)

"""Cost of reading the head of an answer, beside the parser of the standard library.

Run with ``python -m benchmarks.answer_heads``; prints microseconds of processor time for a head.
"""

import http.client
import io
import time
from collections.abc import Callable

from chivetrack.components.upstream.answer_head import AnswerHeadParser

SAMPLES = 50_000
SPLIT_BYTES = 16
ROUNDS = 3
HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"X-Chivetrack-Attempt-Id: 9c41d07be2a35f68\r\n"
    b"X-Chivetrack-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    b"X-Chivetrack-Server-Load: 12,0,64\r\n"
    b"X-Chivetrack-Weight-Versions: 1\r\n"
    b"Keep-Alive: timeout=5\r\n"
    b"Transfer-Encoding: chunked\r\n"
    b"\r\n"
)


class _Source:
    """Looks like a socket to ``http.client``."""

    def makefile(self, mode: str) -> io.BytesIO:
        return io.BytesIO(HEAD)


def parse_whole() -> None:
    """Read a head that arrives in one piece."""
    AnswerHeadParser(method="POST").feed(HEAD)


def parse_split() -> None:
    """Read a head that arrives in pieces of ``SPLIT_BYTES``."""
    parser = AnswerHeadParser(method="POST")
    for begin in range(0, len(HEAD), SPLIT_BYTES):
        parser.feed(HEAD[begin : begin + SPLIT_BYTES])


def parse_by_library() -> None:
    """Read a head with ``http.client``."""
    http.client.HTTPResponse(_Source(), method="POST").begin()  # type: ignore[arg-type]


def measure_us(function: Callable[[], None]) -> float:
    """Return the processor time of one call in microseconds, the least of ``ROUNDS``."""
    figures = []
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(SAMPLES):
            function()
        figures.append((time.process_time() - began) / SAMPLES * 1e6)
    return min(figures)


def main() -> None:
    """Print a line for each way."""
    print(f"one piece: {measure_us(parse_whole):.1f} us")
    print(f"pieces of {SPLIT_BYTES} bytes: {measure_us(parse_split):.1f} us")
    print(f"http.client: {measure_us(parse_by_library):.1f} us")


if __name__ == "__main__":
    main()

"""Answers that are cut or unsound, served to a client one after the other."""

from collections.abc import Callable, Mapping

from tests.components.upstream.server import Script, open_server
from tests.components.upstream.test_cut_answers import UNSOUND_HEADS

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"


def make_answers(status: str, body: bytes, *lines: str) -> dict[str, bytes]:
    """Return sound forms of an answer with the header ``lines``."""
    length = f"Content-Length: {len(body)}"
    chunked = "Transfer-Encoding: chunked"
    # The size has a zero in front: cut behind it, it says that no chunk follows.
    chunks = (b"0%x\r\n%b\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
    return {
        "length first": _make_head(status, length, *lines) + body,
        "length last": _make_head(status, *lines, length) + body,
        "chunks": _make_head(status, *lines, chunked) + chunks,
        "after an interim answer": INTERIM + _make_head(status, *lines, length) + body,
    }


def make_cuts(answers: Mapping[str, bytes]) -> dict[str, bytes]:
    """Return the beginnings of each answer, named after their size in bytes."""
    return {
        f"{name}, {size} bytes": answer[:size]
        for name, answer in answers.items()
        for size in range(len(answer))
    }


def make_unsound(body: bytes) -> dict[str, bytes]:
    """Return answers with ``body`` behind heads that the pages don't allow."""
    return {name: head + body for name, head in UNSOUND_HEADS.items()}


def list_taken(answers: Mapping[str, bytes], is_taken: Callable[[str], bool]) -> list[str]:
    """Return the names of the answers that a client at the given address takes for whole.

    The server closes the connection behind each of them.
    """
    scripts = [Script([[answer]]) for answer in answers.values()]
    with open_server(*scripts) as server:
        return [name for name in answers if is_taken(server.address)]


def _make_head(status: str, *lines: str) -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status}", *lines]).encode() + b"\r\n\r\n"

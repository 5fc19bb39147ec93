"""Tests of the parser of answer heads: every byte, unsound heads, and a seeded fuzz."""

import contextlib
import random
import re
import time
import unittest

from chivetrack.components.upstream.answer_head import (
    AnswerHead,
    AnswerHeadError,
    AnswerHeadParser,
    HeadFault,
)
from chivetrack.components.upstream.const import MAX_HEAD_BYTES, MAX_HEAD_LINES, MAX_INTERIM_ANSWERS
from chivetrack.components.upstream.models import Framing

FUZZ_SEED = 66
FUZZ_INPUTS = 20_000
MAX_BLANKS_S = 1.0
MAX_SLOW_HEAD_S = 4.0
SOUND_HEADS = {
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n": (200, Framing.LENGTH, 5, False),
    b"HTTP/1.1 200 OK\r\ncontent-length:5\t \r\nX-A: b c\xff\r\n\r\n": (
        200,
        Framing.LENGTH,
        5,
        False,
    ),
    b"HTTP/1.1 500\r\nTransfer-Encoding: Chunked\r\n\r\n": (500, Framing.CHUNKED, 0, False),
    b"HTTP/1.1 200 \r\nX-Empty:\r\n\r\n": (200, Framing.CONNECTION, 0, False),
    b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n": (204, Framing.NO_BODY, 0, False),
    b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n": (304, Framing.NO_BODY, 0, False),
    b"HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n": (
        200,
        Framing.LENGTH,
        0,
        True,
    ),
    b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n": (200, Framing.LENGTH, 1, True),
    b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\n": (
        200,
        Framing.LENGTH,
        1,
        False,
    ),
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n": (200, Framing.LENGTH, 7, False),
}
UNSOUND_HEADS = {
    HeadFault.STATUS_LINE: (
        b"GET / HTTP/1.1\r\n",
        b"HTTP/1.1 20 OK\r\n",
        b"HTTP/1.1 2000 OK\r\n",
        b"HTTP/1.1 600 Other\r\n",
        b"HTTP/1.1 099 Other\r\n",
        b"HTTP/1.1  200 OK\r\n",
        b"HTTP/1.1 200 OKHTTP/1.1 500 Failed\r\n",
        b"HTTP/1.12 200 OK\r\n",
        b"HTTP/2.0 200 OK\r\n",
        b"\r\nHTTP/1.1 200 OK\r\n",
        b"data: x\n\n",
        b"\x00",
    ),
    HeadFault.HEADER_LINE: (
        b"HTTP/1.1 200 OK\r\nno colon\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n",
        b"HTTP/1.1 200 OK\r\n: 5\r\n",
        b"HTTP/1.1 200 OK\r\nX: a\r\n folded\r\n",
        b"HTTP/1.1 200 OK\r\nX: a\x00b\r\n",
        b"HTTP/1.1 200 OK\r\nX: a\rb\r\n",
        b"HTTP/1.1 200 OK\r\nX: a\nY: b\r\n",
        b"HTTP/1.1 200 OK\n",
        b"HTTP/1.1 200 OK\r\nDate: Sat, 05HTTP/1.1 500 Failed\r\n",
        b"HTTP/1.1 200 OK\r\nDate: Sat, 05HTTP/1.1 500\r\n",
    ),
    HeadFault.LENGTH: (
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1_0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: \xb2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0x1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %b\r\n\r\n" % (b"9" * 19),
        b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    ),
    HeadFault.CODING: (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 204 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
    ),
    HeadFault.REPEATED_FIELD: (
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n",
    ),
    HeadFault.PROTOCOL_CHANGE: (b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",),
    HeadFault.TOO_LARGE: (
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * (MAX_HEAD_LINES + 1),
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * MAX_HEAD_BYTES,
        b"HTTP/1.1 100 Continue\r\n\r\n" * (MAX_HEAD_BYTES // 25 + 1),
    ),
}

# The whole grammar at once, written in another way than the parser.
_FIELD = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n"
_REASON = rb"(?: [\t\x20-\x7e\x80-\xff]*)?\r\n"
_HEAD = re.compile(
    rb"HTTP/1\.(?P<minor>[01]) (?P<status>[1-5][0-9]{2})%b(?P<fields>(?:%b)*)\r\n"
    % (_REASON, _FIELD)
)


def read_by_grammar(data: bytes) -> tuple[int, Framing, int, int] | None:
    """Return status, framing, length of the body and of the head; ``None`` if there is none."""
    position = 0
    while match := _HEAD.match(data, position):
        status, position = int(match["status"]), match.end()
        framed = frame_by_grammar(match["minor"], status, b"\r\n" + match["fields"])
        if framed is None or status == 101:
            return None
        if status >= 200:
            return status, *framed, position
    return None


def frame_by_grammar(minor: bytes, status: int, fields: bytes) -> tuple[Framing, int] | None:
    """Return framing and length that header lines state, ``None`` if they are unsound."""
    lengths = re.findall(rb"(?i)\r\ncontent-length:([^\r]*)", fields)
    codings = re.findall(rb"(?i)\r\ntransfer-encoding:([^\r]*)", fields)
    has_body = status >= 200 and status != 204
    is_sound, framing, length = len(lengths) + len(codings) < 2, Framing.CONNECTION, 0
    for text in codings:
        is_chunked = text.strip(b" \t").lower() == b"chunked"
        is_sound, framing = is_sound and is_chunked and minor == b"1" and has_body, Framing.CHUNKED
    for text in lengths:
        digits = re.fullmatch(rb"[ \t]*([0-9]{1,18})[ \t]*", text)
        length = int(digits[1]) if digits else 0
        is_sound = is_sound and digits is not None and (has_body or not length)
        framing = Framing.LENGTH
    if not is_sound:
        return None
    return (Framing.NO_BODY, 0) if status in (204, 304) else (framing, length)


def parse(data: bytes, *cuts: int) -> tuple[AnswerHead | None, bytes]:
    """Feed data that is split at ``cuts``; return the head and what follows it."""
    parser = AnswerHeadParser(method="GET")
    bounds = [0, *sorted(cuts), len(data)]
    for begin, end in zip(bounds, bounds[1:], strict=False):
        head = parser.feed(data[begin:end])
        if head is not None:
            return head, parser.rest + data[end:]
    return None, parser.rest


def mutate(chooser: random.Random, data: bytes) -> bytes:
    """Return the bytes with one to three random changes."""
    for _ in range(chooser.randrange(1, 4)):
        at = chooser.randrange(len(data)) if data else 0
        byte = bytes([chooser.choice([*b"\r\n: \t,0129-+;\x00\x7f\x80Hh", chooser.randrange(256)])])
        lines = data.split(b"\r\n")
        line = chooser.randrange(len(lines))
        other = chooser.choice(chooser.choice(list(SOUND_HEADS)).split(b"\r\n"))
        data = chooser.choice(
            [
                data[:at] + byte + data[at:],
                data[:at] + data[at + 1 :],
                data[:at] + byte + data[at + 1 :],
                data[:at],
                b"\r\n".join([*lines[:line], *lines[line + 1 :]]),
                b"\r\n".join([*lines[:line], other, *lines[line:]]),
                data.swapcase(),
            ]
        )
    return data


class AnswerHeadTest(unittest.TestCase):
    def test_sound_head_is_whole_with_its_last_byte(self) -> None:
        """Guards against a head that counts as whole before its blank line."""
        for data, expected in SOUND_HEADS.items():
            with self.subTest(data=data):
                parser = AnswerHeadParser(method="GET")
                for byte in data[:-1]:
                    self.assertIsNone(parser.feed(bytes([byte])))
                    self.assertIs(parser.make_cut_error().fault, HeadFault.CUT)
                head = parser.feed(data[-1:] + b"body")
                assert head is not None
                self.assertEqual((head.status, head.framing, head.length, head.closes), expected)
                self.assertEqual(parser.rest, b"body")

    def test_unsound_head_is_rejected(self) -> None:
        """Guards against lines that are skipped, so that a length is lost or guessed."""
        for fault, heads in UNSOUND_HEADS.items():
            for data in heads:
                with self.subTest(data=data[:80]), self.assertRaises(AnswerHeadError) as caught:
                    parse(data)
                self.assertIs(caught.exception.fault, fault)

    def test_bytes_that_are_no_answer_are_rejected_at_once(self) -> None:
        """Guards against requests that wait for the end of a line that can't be an answer."""
        for data in (b"G", b"HTTP/2", b"HTTP/1.1 200 OK\r\nX: a\nY"):
            with self.subTest(data=data), self.assertRaises(AnswerHeadError):
                parse(data)

    def test_answer_to_head_has_no_body(self) -> None:
        parser = AnswerHeadParser(method="HEAD")
        head = parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        assert head is not None
        self.assertEqual((head.framing, head.length), (Framing.NO_BODY, 0))

    def test_runs_of_blanks_take_linear_time(self) -> None:
        """Guards against a line of an endpoint that holds up all requests of a router."""
        blanks = b" " * (MAX_HEAD_BYTES // 2)
        began = time.process_time()
        for line in (b"X:%b\x01" % blanks, b"X: a%bb" % blanks, b"X: a%b\t\x7f" % blanks):
            with contextlib.suppress(AnswerHeadError):
                parse(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % line)
        self.assertLess(time.process_time() - began, MAX_BLANKS_S)

    def test_long_line_of_single_bytes_is_searched_once(self) -> None:
        """Guards against seconds of work for one head that arrives byte by byte."""
        line = b"HTTP/1.1 200 OK\r\nX: " + b"y" * (MAX_HEAD_BYTES - 100)
        began = time.process_time()
        parse(line, *range(len(line)))
        self.assertLess(time.process_time() - began, MAX_SLOW_HEAD_S)

    def test_header_lines_keep_case_and_order(self) -> None:
        head, _ = parse(b"HTTP/1.1 200 OK\r\nB: 1\r\nx-Y:  two \r\nb: 3\r\n\r\n")
        assert head is not None
        self.assertEqual(list(head.headers.items()), [("B", "1"), ("x-Y", "two"), ("b", "3")])
        self.assertEqual(head.headers.get_all("b"), ["1", "3"])
        with self.assertRaises(AnswerHeadError):
            head.headers.get_single("B")

    def test_interim_answers_are_few(self) -> None:
        """Guards against tiny interim answers that take the loop from other requests."""
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        head, _ = parse(interim * MAX_INTERIM_ANSWERS + final)
        self.assertIsNotNone(head)
        with self.assertRaises(AnswerHeadError):
            parse(interim * (MAX_INTERIM_ANSWERS + 1) + final)

    def test_changed_heads_are_read_as_the_grammar_says(self) -> None:
        """Guards against unsound bytes that are believed, and sound ones that are rejected."""
        chooser = random.Random(FUZZ_SEED)
        heads = 0
        for number in range(FUZZ_INPUTS):
            data = mutate(chooser, chooser.choice(list(SOUND_HEADS))) + b"body"
            cuts = [chooser.randrange(len(data) + 1) for _ in range(chooser.randrange(6))]
            try:
                head, rest = parse(data, *cuts)
            except AnswerHeadError:
                head = None
            found = None
            if head is not None:
                found = (head.status, head.framing, head.length, len(data) - len(rest))
                heads += 1
            self.assertEqual(found, read_by_grammar(data), (number, data, cuts))
        self.assertGreater(heads, FUZZ_INPUTS // 20)


if __name__ == "__main__":
    unittest.main()

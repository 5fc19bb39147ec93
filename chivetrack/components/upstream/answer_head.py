"""Incremental strict parser for the heads of answers of HTTP/1.1.

A head is whole only with its blank line. The parser of the standard library also ends a head
where the connection ends, and skips lines that it can't read. The line with the length may then
be missing, and a part of the body, or none of it, passes for all of it.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from chivetrack.components.upstream.const import (
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    MAX_INTERIM_ANSWERS,
)
from chivetrack.components.upstream.models import Framing
from chivetrack.helpers.numbers import read_count

_LINE_END = b"\r\n"
_BEGIN = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?")
# Neither bytes below the blank nor 0x7F, so no line end either, except for tabs. Blanks around the
# value are stripped later: several repetitions that match them take cubic time.
HEADER_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t\x20-\x7e\x80-\xff]*)")
_BLANKS = b" \t"
# An answer that ended in this line, and the status line of the next one on the connection.
_JOINED_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: |$)")
_SWITCHING_PROTOCOLS = 101
_OK = 200
_NO_CONTENT = 204
_NOT_MODIFIED = 304


class HeadFault(StrEnum):
    """Why bytes are not the head of an answer, or not of the endpoint's own answer."""

    CUT = "cut"
    STATUS_LINE = "status_line"
    HEADER_LINE = "header_line"
    LENGTH = "length"
    CODING = "coding"
    REPEATED_FIELD = "repeated_field"
    PROTOCOL_CHANGE = "protocol_change"
    TOO_LARGE = "too_large"
    NO_REQUEST_ID = "no_request_id"
    NO_SEAL = "no_seal"
    ENCODED = "encoded"


class AnswerHeadError(Exception):
    """Bytes that are not the head of an endpoint's own answer, or not all of one."""

    def __init__(self, fault: HeadFault, message: str) -> None:
        """Store the kind of fault; ``message`` explains it."""
        super().__init__(message)
        self.fault = fault


class AnswerHeaders:
    """The header lines of an answer; names are compared without regard to case."""

    def __init__(self) -> None:
        """Create headers without lines."""
        self._lines: list[tuple[str, str]] = []
        self._values: dict[str, list[str]] = {}

    def add(self, name: str, value: str) -> None:
        """Append a line."""
        self._lines.append((name, value))
        self._values.setdefault(name.lower(), []).append(value)

    def __contains__(self, name: str) -> bool:
        return name.lower() in self._values

    def __len__(self) -> int:
        return len(self._lines)

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header, or ``default``."""
        return self._values.get(name.lower(), (default,))[0]

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header, in order."""
        return self._values.get(name.lower(), [])

    def get_single(self, name: str) -> str | None:
        """Return the value of a header; raise ``AnswerHeadError`` if there are several."""
        values = self.get_all(name)
        if len(values) > 1:
            raise AnswerHeadError(HeadFault.REPEATED_FIELD, f"{name} is there more than once")
        return values[0] if values else None

    def items(self) -> Iterator[tuple[str, str]]:
        """Return the name and the value of each line, as they were sent."""
        return iter(self._lines)


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """The status and headers of a final answer.

    ``length`` is the size of the body in bytes if it is known from the head, else 0.
    ``closes``: the connection serves no further request.
    """

    status: int
    reason: str
    headers: AnswerHeaders
    framing: Framing
    length: int
    closes: bool


class AnswerHeadParser:
    """Reads the head of one final answer from bytes that are split at arbitrary positions.

    Interim answers (1xx) before it are skipped. ``rest`` is what follows the head.
    """

    def __init__(self, *, method: str) -> None:
        """Expect the answer to a request with ``method``."""
        self._is_head_request = method == "HEAD"
        self._bytes_left = MAX_HEAD_BYTES
        self._interim_left = MAX_INTERIM_ANSWERS
        self.rest = b""
        self._begin()

    def _begin(self) -> None:
        self._status = 0
        self._reason = ""
        self._is_http_1_0 = False
        self._headers = AnswerHeaders()

    def feed(self, data: bytes) -> AnswerHead | None:
        """Return the head once it is whole; raise ``AnswerHeadError`` if the bytes are none."""
        buffer = self.rest + data if self.rest else data
        position = 0
        unsearched = max(0, len(self.rest) - 1)
        head: AnswerHead | None = None
        while head is None:
            end = buffer.find(_LINE_END, max(position, unsearched))
            if end < 0:
                break
            line = buffer[position:end]
            position = end + len(_LINE_END)
            head = self._read_line(line)
        self.rest = buffer[position:]
        if head is None:
            self._check_open_line()
        return head

    def make_cut_error(self) -> AnswerHeadError:
        """Return the error of a connection that ends before the head is whole."""
        what = "in its head" if self._status or self.rest else "before it began"
        return AnswerHeadError(HeadFault.CUT, f"the answer ended {what}")

    def _check_open_line(self) -> None:
        """Raise if the line that has no end yet can't become a sound one."""
        if len(self.rest) > self._bytes_left:
            raise AnswerHeadError(HeadFault.TOO_LARGE, "the head of the answer is too large")
        if not self._status and not _BEGIN.startswith(self.rest[: len(_BEGIN)]):
            raise AnswerHeadError(HeadFault.STATUS_LINE, "the bytes are no answer")
        if b"\n" in self.rest:
            raise AnswerHeadError(HeadFault.HEADER_LINE, "a line of the head has no sound end")

    def _read_line(self, line: bytes) -> AnswerHead | None:
        self._bytes_left -= len(line) + len(_LINE_END)
        if self._bytes_left < 0:
            raise AnswerHeadError(HeadFault.TOO_LARGE, "the head of the answer is too large")
        if not self._status:
            self._read_status_line(line)
            return None
        if line:
            self._read_header_line(line)
            return None
        return self._finish()

    def _read_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise AnswerHeadError(HeadFault.STATUS_LINE, "the status line is not one of HTTP/1.1")
        if _JOINED_LINE.search(line, len(_BEGIN)):
            raise AnswerHeadError(HeadFault.STATUS_LINE, "two answers are joined in a line")
        self._is_http_1_0 = match[1] == b"0"
        self._status = int(match[2])
        self._reason = line[match.end(2) + 1 :].decode("latin-1")

    def _read_header_line(self, line: bytes) -> None:
        match = HEADER_LINE.fullmatch(line)
        if match is None:
            raise AnswerHeadError(HeadFault.HEADER_LINE, "a header line has no name and value")
        if _JOINED_LINE.search(line):
            raise AnswerHeadError(HeadFault.HEADER_LINE, "two answers are joined in a line")
        if len(self._headers) >= MAX_HEAD_LINES:
            raise AnswerHeadError(HeadFault.TOO_LARGE, "the answer has too many header lines")
        value = match[2].strip(_BLANKS)
        self._headers.add(match[1].decode("latin-1"), value.decode("latin-1"))

    def _finish(self) -> AnswerHead | None:
        """Return a final head; after an interim one, expect the next."""
        if self._status == _SWITCHING_PROTOCOLS:
            raise AnswerHeadError(HeadFault.PROTOCOL_CHANGE, "nobody asked for another protocol")
        length = self._read_length()
        is_chunked = self._read_coding()
        if is_chunked and length is not None:
            raise AnswerHeadError(HeadFault.LENGTH, "the answer has a length and is chunked")
        if self._status < _OK:
            self._interim_left -= 1
            if self._interim_left < 0:
                raise AnswerHeadError(HeadFault.TOO_LARGE, "too many interim answers")
            self._begin()
            return None
        framing = self._find_framing(length, is_chunked)
        return AnswerHead(
            status=self._status,
            reason=self._reason,
            headers=self._headers,
            framing=framing,
            length=(length or 0) if framing is Framing.LENGTH else 0,
            closes=self._is_closing(),
        )

    def _read_length(self) -> int | None:
        text = self._headers.get_single("Content-Length")
        if text is None:
            return None
        length = read_count(text)
        if length is None:
            raise AnswerHeadError(HeadFault.LENGTH, "the length of the answer is not a number")
        if length and not self._may_have_body:
            raise AnswerHeadError(HeadFault.LENGTH, f"status {self._status} with a length")
        return length

    def _read_coding(self) -> bool:
        coding = self._headers.get_single("Transfer-Encoding")
        if coding is None:
            return False
        if coding.lower() != "chunked" or self._is_http_1_0 or not self._may_have_body:
            raise AnswerHeadError(HeadFault.CODING, "the transfer coding can't be used")
        return True

    @property
    def _may_have_body(self) -> bool:
        return self._status >= _OK and self._status != _NO_CONTENT

    def _find_framing(self, length: int | None, is_chunked: bool) -> Framing:
        if self._is_head_request or self._status in (_NO_CONTENT, _NOT_MODIFIED):
            return Framing.NO_BODY
        if is_chunked:
            return Framing.CHUNKED
        return Framing.CONNECTION if length is None else Framing.LENGTH

    def _is_closing(self) -> bool:
        options = ",".join(self._headers.get_all("Connection")).lower().split(",")
        if self._is_http_1_0:
            return "keep-alive" not in (option.strip() for option in options)
        return "close" in (option.strip() for option in options)

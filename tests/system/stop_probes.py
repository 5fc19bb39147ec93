"""Requests that a stopping router gets at chosen moments, over connections of several kinds."""

import contextlib
import http.client
import io
import selectors
import socket
import time
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

CONNECT_TIMEOUT_S = 3.0
_PADDING = b"x" * 200


class Kind(StrEnum):
    """How a request comes; ``HALF_HEAD`` has sent the start of its head before SIGTERM."""

    KEPT = "kept"
    HALF_HEAD = "half head"
    OPENED = "opened"
    NEW = "new"
    SPLIT_HEAD = "split head"
    SPLIT_BODY = "split body"
    BLOCKER = "blocker"


class Outcome(StrEnum):
    """What the caller got, compared with what the endpoint ran and the router has logged."""

    ANSWERED = "answered"
    REFUSED = "refused"
    MAY_HAVE_RUN = "answered 502"
    OTHER = "other answer"
    CUT = "cut"
    NOT_CONNECTED = "not connected"
    NOT_READ = "reset, not read"
    RUN_UNANSWERED = "run and no answer"
    READ_UNANSWERED = "read and no answer"
    RUN_REFUSED = "run and refused"


FAULTS = (Outcome.RUN_UNANSWERED, Outcome.READ_UNANSWERED, Outcome.RUN_REFUSED)


@dataclass(slots=True, kw_only=True)
class Probe:
    """One request and the connection that it is sent on."""

    request_id: str
    router: str
    address: tuple[str, int]
    kind: Kind
    work_ms: int = 0
    deadline_ms: int = 1500
    connection: socket.socket | None = None
    sent_at: float = 0.0
    data: bytearray = field(default_factory=bytearray)
    is_ended: bool = False

    def make_pieces(self) -> tuple[bytes, bytes]:
        """Return the two pieces of the request; the first one is empty unless it is split."""
        body = b"work=%d " % self.work_ms + _PADDING
        lines = [
            "POST /a/x HTTP/1.1",
            "Host: one.example",
            "X-Chivetrack-Key: key",
            f"X-Chivetrack-Attempt-Id: {self.request_id}",
            f"X-Chivetrack-Deadline-Ms: {self.deadline_ms}",
            f"Content-Length: {len(body)}",
        ]
        whole = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        cuts = {
            Kind.HALF_HEAD: whole.index(b"X-Chivetrack-Key"),
            Kind.SPLIT_HEAD: whole.index(b"X-Chivetrack-Key"),
            Kind.SPLIT_BODY: len(whole) - len(_PADDING) // 2,
        }
        cut = cuts.get(self.kind, 0)
        return whole[:cut], whole[cut:]

    def open(self) -> None:
        """Open the connection; one that is refused has ended."""
        try:
            self.connection = socket.create_connection(self.address, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            self.is_ended = True

    def send_first(self) -> None:
        """Send the first piece of a split request."""
        self._send(self.make_pieces()[0])

    def send_last(self) -> None:
        """Send the rest, which makes the request whole; open the connection if it is new."""
        if self.kind is Kind.NEW:
            self.open()
        self.sent_at = time.monotonic()
        self._send(self.make_pieces()[1])

    def _send(self, data: bytes) -> None:
        # A request is sent although its connection has ended: a caller may not know that yet.
        if self.connection is not None and not self.data:
            with contextlib.suppress(OSError):
                self.connection.sendall(data)

    def receive(self) -> None:
        """Take what has arrived; the probe has ended with a whole answer or the connection."""
        assert self.connection is not None
        try:
            data = self.connection.recv(65536)
        except OSError:
            data = b""
        self.data += data
        if not data or self.read_status() is not None:
            self.is_ended = True

    def read_status(self) -> int | None:
        """Return the status of a complete answer, ``None`` without one."""
        response = http.client.HTTPResponse(_Received(bytes(self.data)))  # type: ignore[arg-type]
        try:
            response.begin()
            response.read()
        except (http.client.HTTPException, OSError, ValueError):
            return None
        return response.status

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()

    def find_outcome(self, *, runs: Collection[str], logged: Collection[str]) -> Outcome:
        """Compare the answer with the ids that an endpoint ran and that the router logged."""
        has_run = self.request_id in runs
        status = self.read_status()
        if status is None:
            return self._find_failure(has_run=has_run, is_read=self.request_id in logged)
        if status == 503:
            return Outcome.RUN_REFUSED if has_run else Outcome.REFUSED
        outcomes = {200: Outcome.ANSWERED, 502: Outcome.MAY_HAVE_RUN}
        return outcomes.get(status, Outcome.OTHER)

    def _find_failure(self, *, has_run: bool, is_read: bool) -> Outcome:
        if self.data:
            return Outcome.CUT
        if has_run:
            return Outcome.RUN_UNANSWERED
        if is_read:
            return Outcome.READ_UNANSWERED
        return Outcome.NOT_CONNECTED if self.connection is None else Outcome.NOT_READ


class _Received:
    """Bytes in the place of a socket, for the reader of answers."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def makefile(self, *_args: Any) -> io.BytesIO:
        return io.BytesIO(self._data)


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One step of a probe and its moment (s, monotonic)."""

    at: float
    probe: Probe
    act: Callable[[], None]


def run_steps(steps: Iterable[Step], waiting: Iterable[Probe], *, ends_at: float) -> None:
    """Take the steps at their moments and read all answers, in this thread alone.

    ``waiting`` are probes that have already been sent. Returns when all have ended, and at
    ``ends_at`` (s, monotonic) at the latest.
    """
    left = sorted(steps, key=lambda step: step.at, reverse=True)
    with selectors.DefaultSelector() as selector:
        for probe in waiting:
            _watch(selector, probe)
        while (left or selector.get_map()) and time.monotonic() < ends_at:
            now = time.monotonic()
            if left and left[-1].at <= now:
                step = left.pop()
                step.act()
                _watch(selector, step.probe)
                continue
            wait_s = (left[-1].at if left else ends_at) - now
            for key, _ in selector.select(wait_s):
                _receive(selector, key.data)


def _watch(selector: selectors.BaseSelector, probe: Probe) -> None:
    if probe.connection is None or probe.is_ended or not probe.sent_at:
        return
    with contextlib.suppress(KeyError):
        selector.register(probe.connection, selectors.EVENT_READ, probe)


def _receive(selector: selectors.BaseSelector, probe: Probe) -> None:
    probe.receive()
    if probe.is_ended:
        assert probe.connection is not None
        selector.unregister(probe.connection)
        probe.close()

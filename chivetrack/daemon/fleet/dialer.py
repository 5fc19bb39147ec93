"""Opens connections to endpoints, through another router where the own path is broken."""

import contextlib
import time
from collections.abc import Callable

import gevent
from gevent import socket as gevent_socket

from chivetrack.components.announcements.models import EndpointRecord
from chivetrack.components.paths.const import CARRY_TIMEOUT_S
from chivetrack.components.paths.messages import CarryRequest, CarryVerdict
from chivetrack.components.peers.frames import encode_frame
from chivetrack.components.peers.link import set_options
from chivetrack.components.upstream.carried import CarriedSocket
from chivetrack.components.upstream.connection import (
    ConnectTimeoutError,
    EndpointConnection,
    NotSentError,
)
from chivetrack.components.upstream.idle_connections import IdleConnections
from chivetrack.daemon.fleet.const import CONNECT_TIMEOUT_S
from chivetrack.daemon.fleet.paths import EndpointPaths
from chivetrack.helpers.addresses import read_address
from chivetrack.helpers.codec import pack
from chivetrack.helpers.events import EventLog
from chivetrack.helpers.reading_turns import ReadingTurns

# One carrier that does not reach an endpoint may be cut off itself; two are believed.
_MAX_UNREACHABLE_CARRIERS = 2
_NOT_REACHED = (CarryVerdict.UNREACHABLE, CarryVerdict.UNSURE)


class PathBrokenError(NotSentError):
    """The endpoint could not be reached, and nothing shows that this is not the router's path."""


class Dialer:
    """Returns an idle, a direct or a carried connection to an endpoint, in this order.

    A request whose connection could not be opened has not been sent, so it goes through a carrier
    at once. Later connections go there without another try of the broken path.
    """

    def __init__(
        self,
        *,
        idle_connections: IdleConnections,
        paths: EndpointPaths,
        events: EventLog,
        count_carried: Callable[[bool], None],
        record_failure: Callable[[EndpointRecord], None] = lambda record: None,
        spawn: Callable[..., object] = gevent.spawn,
    ) -> None:
        """Store the pool of idle connections and the paths.

        ``count_carried`` is called with whether a carrier has reached the endpoint.
        ``record_failure`` is called for an endpoint whose failure was suspected to be one of the
        path, once carriers have not reached it either. ``spawn`` runs a function beside the caller.
        """
        self._idle_connections = idle_connections
        self._paths = paths
        self._events = events
        self._count_carried = count_carried
        self._record_failure = record_failure
        self._spawn = spawn
        self._verifying: set[str] = set()
        self._turns = ReadingTurns()

    def connect(
        self, record: EndpointRecord, *, request_id: str, timeout_s: float
    ) -> EndpointConnection:
        """Return a connection to an endpoint; raise ``NotSentError`` if there is none."""
        is_broken = self._paths.is_broken(record)
        idle = self._idle_connections.pop_idle(record.endpoint_id, is_carried_only=is_broken)
        if idle is None:
            return self._dial(record, request_id, timeout_s)
        if idle.carrier:
            self._log_carried(record, request_id, idle.carrier, is_reused=True)
        return idle

    def _dial(
        self, record: EndpointRecord, request_id: str, timeout_s: float
    ) -> EndpointConnection:
        if self._paths.is_broken(record):
            return self._connect_carried(record, request_id, timeout_s)
        ends_at = time.monotonic() + timeout_s
        if self._paths.is_doubtful(record) and self._paths.is_suspected(record):
            with contextlib.suppress(PathBrokenError):
                return self._connect_carried(record, request_id, timeout_s)
        left_s = max(0.01, ends_at - time.monotonic())
        try:
            opened = EndpointConnection.connect(
                address=record.address,
                connect_timeout_s=min(CONNECT_TIMEOUT_S, left_s),
                turns=self._turns,
            )
        except NotSentError as error:
            if isinstance(error, ConnectTimeoutError):
                self._paths.record_unanswered(record)
            if not self._paths.record_trouble(record):
                raise
            return self._connect_carried(record, request_id, ends_at - time.monotonic())
        self._paths.record_reached(record)
        return opened

    def record_answer(self, record: EndpointRecord, carrier: str) -> None:
        """Record that an endpoint has answered; a carrier's way says nothing of the own one."""
        if not carrier:
            self._paths.record_answer(record)

    def record_unacknowledged(self, record: EndpointRecord, carrier: str) -> None:
        """Record that an endpoint's host has not acknowledged a request."""
        if not carrier:
            self._paths.record_unanswered(record)

    def handle_broken_connection(self, record: EndpointRecord, carrier: str) -> bool:
        """Handle that a connection broke off or hangs; return whether the path is suspected.

        The endpoint is dialed once more without a request, so that the next requests need not find
        out.
        """
        if carrier:
            self._paths.carriers.record_failure(carrier, now=time.monotonic())
            return True
        is_suspected = self._paths.record_trouble(record)
        self.start_verification(record)
        return is_suspected

    def start_verification(self, record: EndpointRecord) -> None:
        """Find out whether an endpoint or the path to it has failed, without a request."""
        is_known = self._paths.is_broken(record) or record.endpoint_id in self._verifying
        if not is_known:
            self._spawn(self._verify, record)

    def _verify(self, record: EndpointRecord) -> None:
        self._verifying.add(record.endpoint_id)
        self._idle_connections.close_endpoint(record.endpoint_id)
        was_suspected = self._paths.is_suspected(record)
        try:
            if self.has_failed(record) and was_suspected:
                self._record_failure(record)
        finally:
            self._verifying.discard(record.endpoint_id)

    def reaches(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint's host answers a connection of this router within the limit.

        A host that refuses the connection answers: it would close those of a process that ended.
        """
        try:
            EndpointConnection.connect(
                address=record.address, connect_timeout_s=CONNECT_TIMEOUT_S
            ).close()
        except ConnectTimeoutError:
            self._paths.record_unanswered(record)
            return False
        except NotSentError:
            return True
        self._paths.record_reached(record)
        return True

    def has_failed(self, record: EndpointRecord) -> bool:
        """Dial an endpoint and return whether it is sure that this is not the router's path."""
        try:
            self._dial(record, "", CARRY_TIMEOUT_S).close()
        except PathBrokenError:
            return False
        except NotSentError:
            return True
        return False

    def _connect_carried(
        self, record: EndpointRecord, request_id: str, timeout_s: float
    ) -> EndpointConnection:
        ends_at = time.monotonic() + min(timeout_s, CARRY_TIMEOUT_S)
        self._paths.wait_for_carriers(timeout_s)
        not_reached: list[CarryVerdict] = []
        for carrier in self._paths.carriers.list_choices(record.service, now=time.monotonic()):
            left_s = ends_at - time.monotonic()
            if left_s <= 0 or len(not_reached) >= _MAX_UNREACHABLE_CARRIERS:
                break
            opened = _open_carried(carrier, record, request_id, timeout_s=left_s)
            if isinstance(opened, CarriedSocket):
                self._paths.record_broken(record)
                self._log_carried(record, request_id, carrier, is_reused=False)
                self._count_carried(True)
                return EndpointConnection(opened=opened, turns=self._turns)
            if opened in _NOT_REACHED:
                not_reached.append(opened)
            else:
                self._paths.carriers.record_failure(carrier, now=time.monotonic())
        self._count_carried(False)
        if len(not_reached) < 2 and CarryVerdict.UNREACHABLE not in not_reached:
            raise PathBrokenError(f"cannot connect to {record.address}: no router carries it")
        self._paths.record_failed(record)
        carriers = len(not_reached)
        raise NotSentError(f"cannot connect to {record.address}, nor can {carriers} carriers")

    def _log_carried(
        self, record: EndpointRecord, request_id: str, carrier: str, *, is_reused: bool
    ) -> None:
        if not request_id:
            return
        self._events.write(
            "request_carried",
            request=request_id,
            endpoint=record.endpoint_id,
            carrier=carrier,
            is_reused=is_reused,
        )


def _open_carried(
    carrier: str, record: EndpointRecord, request_id: str, *, timeout_s: float
) -> CarriedSocket | CarryVerdict:
    """Ask a router to carry a connection; return its verdict if it is not connected."""
    router = read_address(carrier)
    if router is None:
        return CarryVerdict.REFUSED
    request = CarryRequest(
        endpoint_id=record.endpoint_id, address=record.address, request_id=request_id
    )
    ends_at = time.monotonic() + timeout_s
    try:
        opened = gevent_socket.create_connection(
            (router.host, router.port), min(CONNECT_TIMEOUT_S, timeout_s)
        )
    except OSError:
        return CarryVerdict.REFUSED
    verdict = CarryVerdict.REFUSED
    try:
        set_options(opened)
        opened.settimeout(max(0.01, ends_at - time.monotonic()))
        opened.sendall(encode_frame([pack(request)]))
        verdict = CarryVerdict(opened.recv(1))
    except (OSError, ValueError):
        pass  # The carrier is gone, refuses, or is of an older version.
    finally:
        # Also if the caller leaves or the request times out meanwhile.
        if verdict is not CarryVerdict.CONNECTED:
            opened.close()
    return CarriedSocket(opened, carrier=carrier) if verdict is CarryVerdict.CONNECTED else verdict

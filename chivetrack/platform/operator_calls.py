"""Client of the control listeners of a deployment's replicas, for the command line."""

import random
import time
from collections.abc import Callable, Iterator, Sequence
from urllib.parse import quote

import msgspec
import urllib3
from expression import Error, Ok, Result

from chivetrack.components.evacuation.models import ZoneState
from chivetrack.components.quarantine.models import QuarantinedRequest
from chivetrack.components.upstream.strict_pool import (
    WholeAnswer,
    open_pool_manager,
    request_whole,
)
from chivetrack.exceptions import Fault, Ran
from chivetrack.platform.paths import PATH_QUARANTINE, PATH_ZONES

# A replica waits up to 0.9 s for a majority; the rest is for connecting and the answer.
CALL_TIMEOUT_S = 2.0
BACKOFF_S = 0.1
MAX_REDIRECTS = 2
# A repeated request would get the same answer. Other statuses, such as 408, 429 and 503, are
# temporary, so the request is sent again.
_FINAL_STATUSES = frozenset({400, 404, 405, 409, 412, 413, 422})


class _Error(msgspec.Struct):
    error: str = ""
    message: str = ""


class _Zone(msgspec.Struct):
    zone: str
    evacuated: bool
    since: float
    revision: int


class _Zones(msgspec.Struct):
    zones: list[_Zone]


class _Quarantined(msgspec.Struct):
    fingerprint: str
    service: str
    workspace: str
    path: str
    since: float
    crashed: list[str]
    part: str = ""


class _Quarantine(msgspec.Struct):
    requests: list[_Quarantined]


class _OrderAnswer(msgspec.Struct):
    revision: int


class OperatorClient:
    """Sends a request to one replica after another until one gives a final answer."""

    def __init__(
        self,
        *,
        replicas: Sequence[str],
        timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Initialize with control addresses (``host:port``) and the time limit of a request.

        The limit covers all attempts of a request together.
        """
        self._replicas = tuple(replicas)
        self._timeout_s = timeout_s
        self._clock = clock
        self._sleep = sleep
        self._pool = open_pool_manager(retries=False, timeout=CALL_TIMEOUT_S)

    def order_evacuation(self, zone: str, *, is_evacuated: bool) -> Result[int, Fault]:
        """Order the evacuation of a zone, or withdraw it; return the order's revision."""
        method = "POST" if is_evacuated else "DELETE"
        body = self._send_until_final(method, f"{PATH_ZONES}/{quote(zone, safe='')}")
        return body.map(lambda one: msgspec.json.decode(one, type=_OrderAnswer).revision)

    def read_zones(self) -> Result[tuple[ZoneState, ...], Fault]:
        """Return the latest order for each zone."""
        return self._send_until_final("GET", PATH_ZONES).map(_read_zones)

    def read_quarantine(self) -> Result[tuple[QuarantinedRequest, ...], Fault]:
        """Return the quarantined requests."""
        return self._send_until_final("GET", PATH_QUARANTINE).map(_read_quarantine)

    def release_request(self, fingerprint: str) -> Result[int, Fault]:
        """Release a quarantined request and return the quarantine's revision."""
        body = self._send_until_final("DELETE", f"{PATH_QUARANTINE}/{quote(fingerprint, safe='')}")
        return body.map(lambda one: msgspec.json.decode(one, type=_OrderAnswer).revision)

    def _send_until_final(self, method: str, path: str) -> Result[bytes, Fault]:
        """Send until an answer is final or the time is up; orders are idempotent."""
        ends_at = self._clock() + self._timeout_s
        last_fault = _make_unreachable_fault("no request was sent to any replica")
        for replica in self._cycle_replicas():
            answer = self._send(method, f"http://{replica}{path}")
            if isinstance(answer, Fault):
                last_fault = answer
            elif answer.status < 300:
                return Ok(answer.body)
            else:
                last_fault = _read_fault(answer)
                if answer.status in _FINAL_STATUSES:
                    return Error(last_fault)
            if self._clock() >= ends_at:
                break
            self._sleep(BACKOFF_S)
        return Error(last_fault)

    def _cycle_replicas(self) -> Iterator[str]:
        order = random.sample(self._replicas, len(self._replicas))
        while order:
            yield from order

    def _send(self, method: str, url: str) -> WholeAnswer | Fault:
        try:
            for _ in range(MAX_REDIRECTS + 1):
                answer = request_whole(self._pool, method, url)
                if answer.status != 307:
                    return answer
                url = answer.headers.get("Location", url)
        except urllib3.exceptions.HTTPError as error:
            return _make_unreachable_fault(str(error))
        return _make_unreachable_fault("the replicas redirect to each other")


def _read_zones(body: bytes) -> tuple[ZoneState, ...]:
    return tuple(
        ZoneState(zone=one.zone, is_evacuated=one.evacuated, revision=one.revision, since=one.since)
        for one in msgspec.json.decode(body, type=_Zones).zones
    )


def _read_quarantine(body: bytes) -> tuple[QuarantinedRequest, ...]:
    return tuple(
        QuarantinedRequest(
            fingerprint=bytes.fromhex(one.fingerprint),
            crashes=tuple(one.crashed),
            service=one.service,
            path=one.path,
            workspace=one.workspace,
            since=one.since,
            part=one.part,
        )
        for one in msgspec.json.decode(body, type=_Quarantine).requests
    )


def _read_fault(answer: WholeAnswer) -> Fault:
    try:
        read = msgspec.json.decode(answer.body, type=_Error)
    except msgspec.MsgspecError:
        read = _Error()
    code = read.error or f"status_{answer.status}"
    return Fault(code=code, message=read.message or code, status=answer.status, ran=Ran.MAYBE)


def _make_unreachable_fault(detail: str) -> Fault:
    return Fault(code="unreachable", message=detail, status=0, ran=Ran.MAYBE)

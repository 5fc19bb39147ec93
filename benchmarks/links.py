"""Measures the processor time of a request and its answer between two instances.

``python -m benchmarks.links`` prints the time for both sides together, for gRPC streams and for
frames over sockets, with views of as many endpoints as a large fleet has.
"""

from gevent import monkey

monkey.patch_all()

import grpc.experimental.gevent as grpc_gevent  # noqa: E402

grpc_gevent.init_gevent()

import time  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402
from contextlib import contextmanager  # noqa: E402
from typing import Final, Protocol  # noqa: E402

import gevent  # noqa: E402

from chivetrack.components.distribution.messages import EndpointLoad, Follow, View  # noqa: E402
from chivetrack.components.peers.links import LinkTransport  # noqa: E402
from chivetrack.components.peers.transport import PeerTransport  # noqa: E402
from chivetrack.helpers.codec import Message  # noqa: E402

HOST: Final = "127.0.0.1"
PORT: Final = 18890
ENDPOINTS: Final = 64
ROUNDS: Final = 500
REQUEST_INTERVAL_S: Final = 0.004

OnMessage = Callable[[str, Message], None]


class _Transport(Protocol):
    def start(self) -> None: ...
    def stop(self) -> None: ...
    def send(self, target: str, message: Message) -> None: ...


@contextmanager
def _run(transport: _Transport) -> Iterator[None]:
    """Run a transport; one that still has senders at the exit fails in them."""
    transport.start()
    try:
        yield
    finally:
        transport.stop()


def _make_grpc(address: str, on_message: OnMessage) -> _Transport:
    return PeerTransport(
        instance_id=address,
        listen=address,
        advertised=address,
        resolve=lambda target: target,
        on_message=on_message,
        on_error=print,
    )


def _make_links(address: str, on_message: OnMessage) -> _Transport:
    return LinkTransport(address=address, on_message=on_message, on_error=print)


def _make_view() -> View:
    loads = tuple(EndpointLoad(f"i-{n:08x}", n % 9, 131 * n) for n in range(ENDPOINTS))
    return View(
        run="f00d",
        base=0,
        change=0,
        version=7,
        records=(),
        replicas=(f"{HOST}:{PORT}",),
        silent=(),
        loads=loads,
        routers=195,
        has_loads=True,
    )


def measure(make: Callable[[str, OnMessage], _Transport], port: int) -> float:
    """Return the processor time in seconds of one request and its answer."""
    router, replica = f"{HOST}:{port}", f"{HOST}:{port + 1}"
    view = _make_view()
    answers: list[Message] = []
    requester = make(router, lambda _, message: answers.append(message))
    responder = make(replica, lambda source, _: responder.send(source, view))
    follow = Follow(router=router, run="f00d", change=0, version=7, is_assigned=True)
    began = 0.0
    with _run(requester), _run(responder):
        for number in range(ROUNDS + 20):
            if number == 20:
                began = time.process_time()
            requester.send(replica, follow)
            gevent.sleep(REQUEST_INTERVAL_S)
        took_s = time.process_time() - began
    assert len(answers) > ROUNDS
    return took_s / ROUNDS


def main() -> None:
    """Print the time for each transport, without that of an idle process."""
    idle = time.process_time()
    for _ in range(ROUNDS):
        gevent.sleep(REQUEST_INTERVAL_S)
    idle = (time.process_time() - idle) / ROUNDS
    for name, make, port in (("grpc", _make_grpc, PORT), ("links", _make_links, PORT + 4)):
        print(f"{name}: {(measure(make, port) - idle) * 1e6:.0f} us a question and answer")


if __name__ == "__main__":
    main()

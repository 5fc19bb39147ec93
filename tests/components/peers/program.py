"""Checks of transports under the patched library; run by ``test_transport`` in a process."""

from gevent import monkey

monkey.patch_all()

import grpc.experimental.gevent as grpc_gevent  # noqa: E402

grpc_gevent.init_gevent()

import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402

import gevent  # noqa: E402
import grpc  # noqa: E402

from chivetrack.components.peers import transport as transport_module  # noqa: E402
from chivetrack.components.peers.const import QUEUE_LIMIT  # noqa: E402
from chivetrack.components.peers.transport import PeerTransport  # noqa: E402
from chivetrack.components.proposals.models import ForwardRead  # noqa: E402
from chivetrack.helpers.codec import Message, encode  # noqa: E402
from chivetrack.proto import peer_pb2, peer_pb2_grpc  # noqa: E402

WAIT_S = 20.0


class Side:
    """One transport and the messages that it has received."""

    def __init__(
        self,
        name: str,
        listen: str,
        addresses: dict[str, str],
    ) -> None:
        self.received: list[tuple[str, Message]] = []
        self.errors: list[str] = []
        self.transport = PeerTransport(
            instance_id=name,
            listen=listen,
            advertised=listen,
            resolve=addresses.get,
            on_message=lambda source, message: self.received.append((source, message)),
            on_error=self.errors.append,
        )
        self.transport.start()

    @property
    def numbers(self) -> list[int]:
        return [message.number for _, message in self.received]  # type: ignore[attr-defined]


def wait_for(condition: Callable[[], bool], what: str) -> None:
    with gevent.Timeout(WAIT_S, AssertionError(what)):
        while not condition():
            gevent.sleep(0.02)


def check_order(host: str) -> None:
    """Messages to one target arrive once, in order and with the right source."""
    addresses = {"b": f"{host}:18101"}
    a = Side("a", f"{host}:18100", addresses)
    b = Side("b", f"{host}:18101", {})
    for number in range(200):
        a.transport.send("b", ForwardRead(number))
    wait_for(lambda: len(b.received) == 200, "not all messages arrived")
    assert b.numbers == list(range(200)), b.numbers
    assert {source for source, _ in b.received} == {"a"}
    # The answer reaches the sender although its address was never configured.
    b.transport.send("a", ForwardRead(7))
    wait_for(lambda: a.numbers == [7], "the address of the sender was not learned")
    a.transport.stop()
    b.transport.stop()


def check_restart(host: str) -> None:
    """After a restart of the receiver, new messages arrive and outdated ones do not."""
    addresses = {"b": f"{host}:18111"}
    a = Side("a", f"{host}:18110", addresses)
    b = Side("b", f"{host}:18111", {})
    a.transport.send("b", ForwardRead(1))
    wait_for(lambda: b.numbers == [1], "the first message did not arrive")
    b.transport.stop()
    transport_module.MAX_WAIT_S = 0.2
    for number in range(2, 3 * QUEUE_LIMIT):
        a.transport.send("b", ForwardRead(number))
    gevent.sleep(1.0)
    transport_module.MAX_WAIT_S = 2.0
    restarted = Side("b", f"{host}:18111", {})

    def arrived() -> bool:
        a.transport.send("b", ForwardRead(9999))
        gevent.sleep(0.1)
        return 9999 in restarted.numbers

    wait_for(arrived, "no message arrived after the restart")
    assert set(restarted.numbers) == {9999}, restarted.numbers[:5]
    assert a.transport.traffic.dropped_messages >= QUEUE_LIMIT
    a.transport.stop()
    restarted.transport.stop()


def check_bad_messages(host: str) -> None:
    """A message that can't be decoded is reported and does not affect others in its batch."""
    b = Side("b", f"{host}:18121", {})
    kind = "proposals.read"
    envelopes = [
        peer_pb2.Envelope(kind="no.such.kind", payload=b""),
        peer_pb2.Envelope(kind=kind, payload=b"\xff\xff"),
        peer_pb2.Envelope(kind=kind, payload=encode(ForwardRead(5))),
    ]
    batch = peer_pb2.Batch(source="x", source_address="", envelopes=envelopes)
    with grpc.insecure_channel(f"{host}:18121") as channel:
        peer_pb2_grpc.PeerStub(channel).Deliver(iter([batch]))
    assert b.numbers == [5], b.received
    assert len(b.errors) == 2, b.errors
    b.transport.stop()


def check_unknown_target(host: str) -> None:
    """Messages to an unknown instance are dropped and delay no others."""
    addresses: dict[str, str] = {"b": f"{host}:18131"}
    a = Side("a", f"{host}:18130", addresses)
    b = Side("b", f"{host}:18131", {})
    a.transport.send("nobody", ForwardRead(1))
    a.transport.send("b", ForwardRead(2))
    wait_for(lambda: b.numbers == [2], "delayed by the unknown target")
    wait_for(
        lambda: a.transport.traffic.dropped_messages == 1,
        "the message to the unknown target was not dropped",
    )
    a.transport.stop()
    b.transport.stop()


CHECKS = {
    "order": check_order,
    "restart": check_restart,
    "bad-messages": check_bad_messages,
    "unknown-target": check_unknown_target,
}

if __name__ == "__main__":
    CHECKS[sys.argv[1]](sys.argv[2])
    print("ok", flush=True)

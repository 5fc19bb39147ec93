"""gRPC transport between instances: one-way messages in batches for each target."""

from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import gevent
import grpc

from chivetrack.components.peers.const import (
    BATCH_LIMIT,
    BATCH_OVERHEAD_BYTES,
    KEEPALIVE_MS,
    MAX_MESSAGE_BYTES,
    MAX_WAIT_S,
    PING_TIMEOUT_MS,
    RECONNECT_MAX_MS,
    RECONNECT_MIN_MS,
    SERVER_WORKERS,
    STOP_GRACE_S,
    STREAM_IDLE_TIMEOUT_S,
    STREAM_RETRY_DELAY_S,
)
from chivetrack.components.peers.outbox import Outbox, TrafficCount
from chivetrack.helpers.codec import DecodeError, Message, decode, encode, get_kind
from chivetrack.proto import peer_pb2, peer_pb2_grpc

_SIZE_OPTIONS = [
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
]
# A connection to the other side of a network cut reports no error; an unanswered ping closes
# it.
_PING_OPTIONS = [
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", PING_TIMEOUT_MS),
]
_CHANNEL_OPTIONS = [
    ("grpc.min_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.enable_http_proxy", 0),
    # Channels of two transports in one process must not share a connection, or a test that
    # stops one transport would see the traffic of the other.
    ("grpc.use_local_subchannel_pool", 1),
    *_PING_OPTIONS,
    *_SIZE_OPTIONS,
]
# The server must not treat pings as abuse.
_SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
    ("grpc.http2.max_ping_strikes", 0),
    *_PING_OPTIONS,
    *_SIZE_OPTIONS,
]


@dataclass(slots=True)
class _Stream:
    """One stream to a target; the library may still read from a closed one."""

    address: str
    is_open: bool = True


class _Servicer(peer_pb2_grpc.PeerServicer):
    """Passes the messages of each batch to the transport."""

    def __init__(self, *, transport: "PeerTransport") -> None:
        self._transport = transport

    def Deliver(  # noqa: N802
        self, request_iterator: Iterator[peer_pb2.Batch], context: grpc.ServicerContext
    ) -> peer_pb2.Receipt:
        """Receive batches until the other side ends the stream."""
        try:
            for batch in request_iterator:
                self._transport.receive_batch(batch)
        except grpc.RpcError:
            # The other side died or was cut off; the batches received before are processed.
            return peer_pb2.Receipt()
        return peer_pb2.Receipt()


class PeerTransport:
    """Sends messages to other instances and receives theirs, at ``advertised``.

    Delivery is best effort: a message may be lost, late or duplicated, and never waits for more
    than ``QUEUE_LIMIT`` others. ``resolve`` returns the ``host:port`` of an instance id;
    ``on_message`` gets the sender's id and the message.
    """

    def __init__(
        self,
        *,
        instance_id: str,
        listen: str,
        advertised: str,
        resolve: Callable[[str], str | None],
        on_message: Callable[[str, Message], None],
        on_error: Callable[[str], None],
        server_credentials: grpc.ServerCredentials | None = None,
        make_channel_credentials: Callable[[], grpc.ChannelCredentials] | None = None,
    ) -> None:
        """Bind the listener; nothing is served before ``start``."""
        self._instance_id = instance_id
        self._resolve = resolve
        self._on_message = on_message
        self._on_error = on_error
        self._make_channel_credentials = make_channel_credentials
        self._outboxes: dict[str, Outbox[peer_pb2.Envelope]] = {}
        self._channels: dict[str, grpc.Channel] = {}
        self._senders: list[gevent.Greenlet] = []
        self.traffic = TrafficCount()
        self._server = grpc.server(ThreadPoolExecutor(SERVER_WORKERS), options=_SERVER_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(_Servicer(transport=self), self._server)
        self._bind(listen, server_credentials)
        self._advertised = advertised
        self._learned_addresses: dict[str, str] = {}

    def _bind(self, listen: str, credentials: grpc.ServerCredentials | None) -> int:
        if credentials is None:
            return self._server.add_insecure_port(listen)
        return self._server.add_secure_port(listen, credentials)

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving and drop waiting messages."""
        gevent.killall(self._senders)
        for channel in self._channels.values():
            channel.close()
        self._server.stop(STOP_GRACE_S).wait()

    def send(self, target: str, message: Message) -> None:
        """Queue a message and return at once; the oldest is dropped if the queue is full."""
        outbox = self._outboxes.get(target)
        if outbox is None:
            outbox = self._outboxes[target] = Outbox(self.traffic)
            self._senders.append(gevent.spawn(self._run_sender, target, outbox))
        outbox.put(peer_pb2.Envelope(kind=get_kind(message), payload=encode(message)))

    def _run_sender(self, target: str, outbox: Outbox[peer_pb2.Envelope]) -> None:
        while True:
            outbox.ready.wait()
            address = self._find_address(target)
            if address is None:
                outbox.drop_expired(max_wait_s=0.0)
                continue
            stream = _Stream(address)
            try:
                self._get_stub(address).Deliver(self._make_batches(target, outbox, stream))
            except grpc.RpcError:
                gevent.sleep(STREAM_RETRY_DELAY_S)
            finally:
                # The library may still wait in the batch iterator of a failed stream. If it
                # woke up later, it would remove a batch from the outbox and lose it.
                stream.is_open = False
                outbox.ready.set()
                gevent.sleep(0)

    def _find_address(self, target: str) -> str | None:
        return self._resolve(target) or self._learned_addresses.get(target)

    def _make_batches(
        self, target: str, outbox: Outbox[peer_pb2.Envelope], stream: _Stream
    ) -> Iterator[peer_pb2.Batch]:
        """Yield batches until the stream fails, is idle or the target's address changes."""
        while stream.is_open:
            if not outbox.ready.wait(STREAM_IDLE_TIMEOUT_S) or not stream.is_open:
                return
            if self._find_address(target) != stream.address:
                return
            batch = self._pop_batch(outbox)
            if batch is not None:
                yield batch

    def _pop_batch(self, outbox: Outbox[peer_pb2.Envelope]) -> peer_pb2.Batch | None:
        outbox.drop_expired(max_wait_s=MAX_WAIT_S)
        envelopes = [envelope for _, envelope in outbox.pop(BATCH_LIMIT)]
        if not envelopes:
            return None
        batch = peer_pb2.Batch(
            source=self._instance_id, source_address=self._advertised, envelopes=envelopes
        )
        self.traffic.sent_batches += 1
        for envelope in envelopes:
            self.traffic.sent_by_kind[envelope.kind] += len(envelope.payload)
        self.traffic.sent_bytes += batch.ByteSize() + BATCH_OVERHEAD_BYTES
        return batch

    def _get_stub(self, address: str) -> peer_pb2_grpc.PeerStub:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._open_channel(address)
        return peer_pb2_grpc.PeerStub(channel)

    def _open_channel(self, address: str) -> grpc.Channel:
        if self._make_channel_credentials is None:
            return grpc.insecure_channel(address, options=_CHANNEL_OPTIONS)
        return grpc.secure_channel(
            address, self._make_channel_credentials(), options=_CHANNEL_OPTIONS
        )

    def reopen_channels(self) -> None:
        """Close all channels, so that the next message opens one with the current credentials."""
        channels, self._channels = self._channels, {}
        for channel in channels.values():
            channel.close()

    def receive_batch(self, batch: peer_pb2.Batch) -> None:
        """Deliver the messages of a batch; report and skip those that can't be decoded."""
        self.traffic.received_bytes += batch.ByteSize()
        self._learned_addresses[batch.source] = batch.source_address
        for envelope in batch.envelopes:
            try:
                message = decode(envelope.kind, envelope.payload)
            except DecodeError as error:
                self._on_error(f"bad message from {batch.source}: {error}")
                continue
            self._on_message(batch.source, message)

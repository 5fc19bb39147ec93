"""Test program: TLS listeners under gevent, before and after a reload.

It runs in its own process, since it patches the standard library for gevent. It prints
``served`` if HTTP and gRPC answered with the old and then with the new certificate, silent
clients blocked no request, and a mismatched pair was not loaded.
"""

import gevent.monkey

gevent.monkey.patch_all()

import socket  # noqa: E402
import tempfile  # noqa: E402
from concurrent import futures  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
import grpc  # noqa: E402
import grpc.experimental.gevent as grpc_gevent  # noqa: E402
import urllib3  # noqa: E402
from gevent.pywsgi import WSGIServer  # noqa: E402

from chivetrack.helpers.handshakes import TlsServerMixin  # noqa: E402
from chivetrack.helpers.tls import Tls, open_tls  # noqa: E402
from chivetrack.proto import peer_pb2, peer_pb2_grpc  # noqa: E402
from tests.helpers.certificates import Authority, write_files  # noqa: E402

HANG_TIMEOUT_S = 30.0


class _Server(TlsServerMixin, WSGIServer):
    pass


class _Receiver(peer_pb2_grpc.PeerServicer):
    def Deliver(self, request_iterator, context):  # noqa: N802
        list(request_iterator)
        return peer_pb2.Receipt()


def answer(environ, start_response):
    """Answer every request with ``ok``."""
    start_response("200 OK", [])
    return [b"ok"]


def call_both(tls: Tls, http_port: int, grpc_port: int) -> None:
    """Send one request to each listener, over a new connection."""
    pool = urllib3.PoolManager(ssl_context=tls.client_context, retries=False)
    assert pool.request("GET", f"https://127.0.0.1:{http_port}/").data == b"ok"
    pool.clear()
    options = [("grpc.use_local_subchannel_pool", 1)]
    credentials = tls.create_grpc_channel_credentials()
    with grpc.secure_channel(f"127.0.0.1:{grpc_port}", credentials, options) as channel:
        batches = iter([peer_pb2.Batch()])
        peer_pb2_grpc.PeerStub(channel).Deliver(batches, timeout=HANG_TIMEOUT_S)


def main() -> None:
    """Serve, replace the files, serve again."""
    grpc_gevent.init_gevent()
    with gevent.Timeout(HANG_TIMEOUT_S), tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        first, second = Authority("first"), Authority("second")
        files = write_files(folder, first.issue(), first.pem)
        tls = open_tls(files).ok
        http = _Server(("127.0.0.1", 0), answer, ssl_context=tls, log=None)
        http.start()
        server = grpc.server(futures.ThreadPoolExecutor(max_workers=2))
        peer_pb2_grpc.add_PeerServicer_to_server(_Receiver(), server)
        grpc_port = server.add_secure_port("127.0.0.1:0", tls.create_grpc_server_credentials())
        server.start()
        silent = [socket.create_connection(("127.0.0.1", http.server_port)) for _ in range(3)]
        silent.append(socket.create_connection(("127.0.0.1", grpc_port)))
        call_both(tls, http.server_port, grpc_port)
        files.key_file.write_bytes(second.issue().key)
        assert len(tls.check()) == 1
        call_both(tls, http.server_port, grpc_port)
        write_files(folder, second.issue(), second.pem)
        assert len(tls.check()) == 0
        call_both(tls, http.server_port, grpc_port)
        for connection in silent:
            connection.close()
        gevent.sleep(0.05)
        http.stop()
        server.stop(None).wait()
    print("served")


if __name__ == "__main__":
    main()

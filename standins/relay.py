"""A TCP relay, and the stand-in for the platform's load balancer that uses it."""

import itertools
import signal
import socket
from collections.abc import Callable
from typing import Annotated

import gevent
import typer
import urllib3
from gevent.server import StreamServer

from standins.const import PROBE_INTERVAL_S, RECEIVE_BUFFER_BYTES

READY_PATH = "/readyz"


class Relay:
    """Forwards each connection to the target that ``choose_target`` returns.

    While ``cut`` is set, all bytes are dropped and the connections stay open. To both sides
    this looks like a network partition: writes succeed, but nothing arrives.
    """

    def __init__(self, *, listen: str, choose_target: Callable[[], str | None]) -> None:
        """Create the server; ``listen`` has the form ``host:port``."""
        host, _, port = listen.rpartition(":")
        self._choose_target = choose_target
        self._server = StreamServer((host, int(port)), self._handle)
        self.cut = False

    @property
    def address(self) -> str:
        """Return the ``host:port`` at which the relay listens."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=0)

    def _handle(self, caller: socket.socket, address: tuple[str, int]) -> None:
        target = self._choose_target()
        if target is None:
            caller.close()
            return
        host, _, port = target.rpartition(":")
        try:
            backend = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            caller.close()
            return
        backend.settimeout(None)
        reverse = gevent.spawn(self._pump, backend, caller)
        self._pump(caller, backend)
        reverse.join()
        caller.close()
        backend.close()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(RECEIVE_BUFFER_BYTES):
                if not self.cut:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _shut_down(sink)
            _shut_down(source)


def _shut_down(side: socket.socket) -> None:
    try:
        side.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class Balancer:
    """Load balancer that distributes connections round-robin to the ready instances."""

    def __init__(self, *, listen: str, targets: list[str]) -> None:
        """Create the balancer; ``targets`` are the ``host:port`` of the entry instances."""
        self._targets = targets
        self._ready: list[str] = []
        self._turn = itertools.count()
        self._http = urllib3.PoolManager(retries=False, timeout=PROBE_INTERVAL_S * 5)
        self.relay = Relay(listen=listen, choose_target=self._choose)

    def _choose(self) -> str | None:
        if not self._ready:
            return None
        return self._ready[next(self._turn) % len(self._ready)]

    def probe(self) -> None:
        """Query the readiness of each instance."""
        self._ready = [target for target in self._targets if self._is_ready(target)]

    def _is_ready(self, target: str) -> bool:
        try:
            response = self._http.request("GET", f"http://{target}{READY_PATH}")
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def run(self) -> None:
        """Probe every ``PROBE_INTERVAL_S`` seconds until the greenlet is killed."""
        while True:
            self.probe()
            gevent.sleep(PROBE_INTERVAL_S)


def main(
    target: Annotated[list[str], typer.Option(help="host:port of an entry instance.")],
    listen: Annotated[str, typer.Option(help="host:port; port 0 chooses one.")] = "127.0.0.1:0",
) -> None:
    """Run a stand-in for the platform's load balancer."""
    balancer = Balancer(listen=listen, targets=target)
    balancer.probe()
    balancer.relay.start()
    loop = gevent.spawn(balancer.run)
    gevent.signal_handler(signal.SIGTERM, loop.kill)
    print(f"ready {balancer.relay.address}", flush=True)
    loop.join()
    balancer.relay.stop()

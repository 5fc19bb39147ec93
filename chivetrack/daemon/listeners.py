"""HTTP listeners of an instance and their applications."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from chivetrack.components.memory.budget import MemoryBudget
from chivetrack.components.settings.models import ListenerSettings
from chivetrack.daemon.call_gate import Application
from chivetrack.daemon.encryption import Encryption
from chivetrack.daemon.server import HttpServer
from chivetrack.daemon.server_limits import ServerLimits
from chivetrack.helpers.sections.values import Address


@dataclass(frozen=True, slots=True, kw_only=True)
class Applications:
    """The application of each HTTP listener."""

    caller: Application
    resources: Application
    telemetry: Application


class Listeners:
    """Opens and closes the HTTP listeners."""

    def __init__(
        self,
        *,
        settings: ListenerSettings,
        applications: Applications,
        encryption: Encryption,
        is_closing: Callable[[], bool],
        memory: MemoryBudget,
        limits: ServerLimits | None = None,
    ) -> None:
        """Create the servers, which share ``memory``; ``start`` opens them."""
        self._encryption = encryption
        self._is_closing = is_closing
        self._limits = limits
        self._memory = memory
        self._servers = {
            "caller": self._create("caller", settings.caller, applications.caller),
            "resources": self._create("resources", settings.resources, applications.resources),
            "telemetry": self._create("telemetry", settings.telemetry, applications.telemetry),
        }

    def _create(self, name: str, address: Address, application: Application) -> HttpServer:
        return HttpServer(
            address=(address.host, address.port),
            application=application,
            is_closing=self._is_closing,
            tls=self._encryption.get(name),
            limits=self._limits,
            memory=self._memory,
        )

    def start(self) -> None:
        """Open all listeners; raise ``OSError`` if an address is in use."""
        for server in self._servers.values():
            server.start()

    def get_port(self, name: str) -> int:
        """Return the port of a listener that has been opened."""
        return int(self._servers[name].server_port)

    def drain_caller(self, *, ends_at: float) -> int:
        """Answer what callers have sent, then close their listener and connections.

        Return the number of connections that are still open at ``ends_at`` (s, monotonic).
        """
        return self._servers["caller"].drain(ends_at=ends_at)

    def drain_rest(self, *, ends_at: float) -> int:
        """Drain the listeners that serve no callers, as ``drain_caller`` does."""
        servers = [self._servers["resources"], self._servers["telemetry"]]
        draining = [gevent.spawn(server.drain, ends_at=ends_at) for server in servers]
        return sum(greenlet.get() for greenlet in draining)

    def stop(self) -> None:
        """Close all listeners and their connections."""
        for server in self._servers.values():
            server.stop(timeout=0)

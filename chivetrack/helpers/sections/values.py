"""Types of values that the settings files of all programs share."""

import ipaddress
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port; with port 0 the operating system chooses a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(value: Any) -> Address:
    """Parse ``host:port`` with an IP address; raise ``ValueError`` for anything else."""
    if isinstance(value, Address):
        return value
    if not isinstance(value, str):
        raise ValueError('must be a text of the form "IP-number:port"')
    host, colon, port = value.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"must be IP-number:port with a port from 0 to {MAX_PORT}")
    host = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP number; names are not looked up") from None
    return Address(host, int(port))


class LogLevel(StrEnum):
    """The lowest log level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"

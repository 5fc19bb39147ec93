"""Reading of the addresses that other parties write."""

import ipaddress
from functools import lru_cache

from chivetrack.helpers.numbers import read_count
from chivetrack.helpers.sections.values import MAX_PORT, Address

# The longest IPv6 address in brackets, a colon and a port.
MAX_ADDRESS_LENGTH = 55
# Each heartbeat states the address of its endpoint again.
_MAX_CACHED = 8192


def read_address(text: str) -> Address | None:
    """Return the address that ``IP:PORT`` states, ``None`` for any other text.

    An IPv6 address stands in brackets. Names are not accepted: looking one up has no timeout, and
    blocks the whole process. Nor are addresses at which no host can be reached.
    """
    return _parse(text) if len(text) <= MAX_ADDRESS_LENGTH else None


@lru_cache(maxsize=_MAX_CACHED)
def _parse(text: str) -> Address | None:
    host_text, _, port_text = text.rpartition(":")
    port = read_count(port_text)
    if port is None or not 0 < port <= MAX_PORT:
        return None
    host = _read_host(host_text)
    if host is None or host.is_unspecified or host.is_multicast:
        return None
    return Address(str(host), port)


def _read_host(text: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    is_bracketed = text.startswith("[") and text.endswith("]")
    try:
        # A zone such as %eth0 is a name of the writer's host, and may hold any character.
        if is_bracketed and "%" not in text:
            address = ipaddress.IPv6Address(text[1:-1])
            return address.ipv4_mapped or address
        return ipaddress.IPv4Address(text)
    except ValueError:
        return None

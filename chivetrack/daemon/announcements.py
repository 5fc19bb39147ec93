"""Handling of endpoint announcements that arrive over HTTP."""

from collections.abc import Callable

import msgspec

from chivetrack.components.endpoints.announcement import parse_announcement
from chivetrack.components.endpoints.registry import EndpointRegistry
from chivetrack.components.pipeline import faults
from chivetrack.components.pipeline.const import BEARER_PREFIX
from chivetrack.exceptions import Fault
from chivetrack.helpers.keys import KeyRing


class AnnouncementHandler:
    """Validates the key and the content of an announcement and forwards it to the registry."""

    def __init__(
        self, *, registry: EndpointRegistry, keys: KeyRing, read_clock: Callable[[], float]
    ) -> None:
        """Create a handler; with an empty key ring, announcements need no key."""
        self._registry = registry
        self._keys = keys
        self._read_clock = read_clock

    def handle(self, body: bytes, authorization: str) -> Fault | None:
        """Handle an announcement; return a fault if it is refused."""
        if len(self._keys):
            key = authorization.removeprefix(BEARER_PREFIX)
            if self._keys.find_holder(key) is None:
                return faults.bad_key()
        try:
            document = msgspec.json.decode(body)
        except msgspec.MsgspecError as error:
            return faults.malformed_body(str(error))
        announcement = parse_announcement(document)
        if announcement.is_error():
            return faults.malformed_body("; ".join(str(each) for each in announcement.error))
        receipt = self._registry.announce(announcement.ok, now=self._read_clock())
        return receipt.error if receipt.is_error() else None

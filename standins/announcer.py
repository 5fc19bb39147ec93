"""Announces a stand-in endpoint periodically, so that its lease does not expire."""

from collections.abc import Callable, Sequence
from typing import Any

import gevent
import msgspec
import urllib3

from standins.const import (
    ANNOUNCE_INTERVAL_S,
    ANNOUNCE_PATH,
    ANNOUNCE_TIMEOUT_S,
)


class Announcer:
    """Posts announcements to ``targets`` in turn until one of them accepts."""

    def __init__(
        self,
        *,
        targets: Sequence[str],
        make_announcement: Callable[[str], dict[str, Any]],
        key: str = "",
        interval_s: float = ANNOUNCE_INTERVAL_S,
    ) -> None:
        """Initialize the announcer.

        ``targets`` are URLs of the form ``http://host:port``; ``make_announcement`` returns
        the announcement for a state such as ``ready`` or ``leaving``.
        """
        self._targets = list(targets)
        self._make_announcement = make_announcement
        self._headers = {"Content-Type": "application/json"}
        if key:
            self._headers["Authorization"] = f"Bearer {key}"
        self._interval_s = interval_s
        self._http = urllib3.PoolManager(retries=False, timeout=ANNOUNCE_TIMEOUT_S)
        self._next = 0
        self.paused = False
        self.state = "ready"

    def run(self) -> None:
        """Announce every ``interval_s`` seconds until the greenlet is killed."""
        while True:
            if not self.paused:
                self.announce()
            gevent.sleep(self._interval_s)

    def announce(self) -> bool:
        """Announce once; return whether a target accepted the announcement."""
        body = msgspec.json.encode(self._make_announcement(self.state))
        for _ in self._targets:
            target = self._targets[self._next % len(self._targets)]
            self._next += 1
            if self._post(target, body):
                return True
        return False

    def _post(self, target: str, body: bytes) -> bool:
        try:
            response = self._http.request(
                "POST", target + ANNOUNCE_PATH, body=body, headers=self._headers
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 204

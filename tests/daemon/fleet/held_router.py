"""A router that holds still at its decision to exit; run by ``test_router_exit`` in a process."""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402

from chivetrack.components.deployment.settings import parse_deployment  # noqa: E402
from chivetrack.daemon.fleet.router import Router  # noqa: E402
from chivetrack.helpers.events import EventLog  # noqa: E402
from tests.components.announcements.test_table import make_record  # noqa: E402
from tests.daemon.fleet.test_fleet_view import make_view  # noqa: E402

# The first event that a router writes after its last look at the number of open requests.
DECISIONS = ("exit_decided", "stopped")
REPLICA = "127.0.0.1:1"
# Time for greenlets that are ready to run before the exit continues.
RUN_ON_S = 0.1


class HeldEvents(EventLog):
    """An event log that blocks the thread at the decision to exit, so that no greenlet runs."""

    is_held = False

    def write(self, event: str, **fields: Any) -> None:
        """Write one line; at the decision, wait until the test has read a line and sent one."""
        super().write(event, **fields)
        if event in DECISIONS and not self.is_held:
            self.is_held = True
            os.write(sys.stdout.fileno(), b"held\n")
            os.read(sys.stdin.fileno(), 1)
            gevent.sleep(RUN_ON_S)


def main(settings: Path, configuration: Path, endpoint: str, log: Path) -> int:
    """Run a router that knows one endpoint until SIGTERM; return the number of cut requests."""
    descriptor = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    events = HeldEvents(instance="r1", descriptor=descriptor)
    parsed = parse_deployment(settings.read_text(), source=str(settings))
    router = Router(settings=parsed.ok, events=events)
    router.view.apply_document(1, configuration.read_bytes())
    record = make_record(service="portal", address=endpoint, zone="z1")
    # The view of a replica of an earlier release: no replica runs here that confirms versions.
    view = make_view(record, replicas=(), keeps_origins=False)
    router.messages.handle(REPLICA, view)
    gevent.spawn(events.run)
    cut = router.run()
    events.flush()
    return cut


if __name__ == "__main__":
    os._exit(main(Path(sys.argv[1]), Path(sys.argv[2]), sys.argv[3], Path(sys.argv[4])))

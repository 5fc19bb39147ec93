"""The program of the deployed processes: a router or a replica, as the settings define."""

import gc

# Imports create no garbage; collections during the imports would take a fifth of the start.
gc.disable()

from chivetrack.daemon.fleet.early import (  # noqa: E402
    ENV_SETTINGS,
    hold_signals,
    open_callers_listener,
)

# Open the listener before the imports that take time.
hold_signals()
EARLY_LISTENER = open_callers_listener()

from gevent import config as gevent_config  # noqa: E402
from gevent import events as gevent_events  # noqa: E402
from gevent import monkey  # noqa: E402

# All addresses are numeric. Resolving each in a thread, as host names require, takes longer
# than the rest of opening a connection.
gevent_config.resolver = "block"

# Without this, each patching step searches the metadata of every installed package for entry
# points. This program has none, and the search would delay its start, for which callers wait.
gevent_events.notify_and_call_entry_points = gevent_events.notify
monkey.patch_all()

import os  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

from chivetrack.components.deployment.settings import (  # noqa: E402
    DeploymentSettings,
    ProcessRole,
    load_deployment,
)
from chivetrack.daemon.const import EXIT_CUT, EXIT_OK, EXIT_SETTINGS, EXIT_START  # noqa: E402
from chivetrack.helpers.events import EventLog, open_events  # noqa: E402
from chivetrack.helpers.log import open_logs  # noqa: E402


def _run(settings: DeploymentSettings, events: EventLog) -> int:
    """Import and run the program of the role; each role needs only half of the modules."""
    if settings.process.role is ProcessRole.REPLICA:
        from chivetrack.daemon.fleet.replica import ReplicaProcess

        run = ReplicaProcess(settings=settings, events=events).run
    else:
        from chivetrack.daemon.fleet.router import Router

        run = Router(settings=settings, events=events, listener=EARLY_LISTENER).run
    gc.freeze()
    gc.enable()
    return run()


def serve(settings: DeploymentSettings) -> int:
    """Run the process until it has stopped and return the exit code."""
    with (
        open_logs(level=settings.log.level, form="json"),
        open_events(instance=settings.process.name) as events,
    ):
        try:
            cut = _run(settings, events)
        except (OSError, RuntimeError) as error:
            events.write("start_failed", detail=str(error))
            return EXIT_START
    return EXIT_CUT if cut else EXIT_OK


def start(config: Path) -> None:
    """Run the process of a settings file and exit with its exit code."""
    settings = load_deployment(config)
    if settings.is_error():
        for finding in settings.error:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    # Skip waiting for threads: one that waits for a stalled disk would delay the exit until
    # SIGKILL, although no request is in flight.
    os._exit(serve(settings.ok))


def main() -> None:
    """Start from the environment or the command line.

    The command-line parser is only imported if there are arguments, since this takes time.
    """
    if len(sys.argv) == 1 and ENV_SETTINGS in os.environ:
        start(Path(os.environ[ENV_SETTINGS]))
    from chivetrack.daemon.fleet.command import build_app

    build_app(start)()


if __name__ == "__main__":
    main()

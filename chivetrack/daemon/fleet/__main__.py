"""The program of the deployed processes: a router or a replica, as the settings say."""

import gc

# Nothing of what is imported becomes garbage; looking for it takes a fifth of the start.
gc.disable()

from chivetrack.daemon.fleet.early import ENV_SETTINGS, open_callers_listener  # noqa: E402

# Before all that takes time to load.
EARLY_LISTENER = open_callers_listener()

from gevent import monkey  # noqa: E402

monkey.patch_all()

import os  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Annotated  # noqa: E402

import typer  # noqa: E402

from chivetrack.components.deployment.settings import (  # noqa: E402
    DeploymentSettings,
    ProcessRole,
    load_deployment,
)
from chivetrack.daemon.const import EXIT_CUT, EXIT_OK, EXIT_SETTINGS, EXIT_START  # noqa: E402
from chivetrack.helpers.events import EventLog, open_events  # noqa: E402
from chivetrack.helpers.log import open_logs  # noqa: E402

APP = typer.Typer(add_completion=False)


def _run(settings: DeploymentSettings, events: EventLog) -> int:
    """Load and run the program of the role; each role needs half of the modules."""
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
    """Run the process until it was stopped, and return the exit code."""
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


@APP.command()
def run_process(
    config: Annotated[Path, typer.Option(envvar=ENV_SETTINGS, help="The settings file (TOML).")],
) -> None:
    """Run one router or replica until SIGTERM.

    Exit codes: 0 stopped and nothing cut; 1 stopped, requests were cut off; 3 the
    settings have faults (all are printed); 4 a listener or a file could not be opened.
    """
    settings = load_deployment(config)
    if settings.is_error():
        for finding in settings.error:
            typer.echo(str(finding), err=True)
        raise typer.Exit(EXIT_SETTINGS)
    # Threads of gRPC's own may outlive the last message by seconds; a stop that waits for
    # them ends in a kill, although nothing is in flight any more.
    os._exit(serve(settings.ok))


if __name__ == "__main__":
    APP()

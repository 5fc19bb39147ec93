"""The command line of the deployed processes."""

from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer

from chivetrack.daemon.fleet.early import ENV_SETTINGS


def build_app(start: Callable[[Path], None]) -> typer.Typer:
    """Return the command line; ``start`` runs the process of a settings file."""
    app = typer.Typer(add_completion=False)

    @app.command()
    def run_process(
        config: Annotated[
            Path, typer.Option(envvar=ENV_SETTINGS, help="The settings file (TOML).")
        ],
    ) -> None:
        """Run one router or replica until SIGTERM.

        Exit codes: 0 stopped and nothing cut; 1 stopped, requests were cut off; 3 the
        settings have faults (all are printed); 4 a listener or a file could not be opened.
        """
        start(config)

    return app

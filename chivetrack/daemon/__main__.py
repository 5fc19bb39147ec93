"""The program ``chivetrackd``."""

from gevent import get_hub, monkey

monkey.patch_all()

# Each open stream to another instance occupies a thread of this pool. With the default of
# 10 threads, an instance that has streams to more instances has no thread left: it receives
# no messages, and no leader is elected.
get_hub().threadpool.maxsize = 512

import grpc.experimental.gevent as grpc_gevent  # noqa: E402

grpc_gevent.init_gevent()

from collections.abc import Iterable  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Annotated  # noqa: E402

import typer  # noqa: E402

from chivetrack.components.settings import Settings, load_settings  # noqa: E402
from chivetrack.const import VERSION  # noqa: E402
from chivetrack.daemon.const import (  # noqa: E402
    EXIT_CUT,
    EXIT_OK,
    EXIT_SETTINGS,
    EXIT_START,
)
from chivetrack.daemon.encryption import open_encryption  # noqa: E402
from chivetrack.daemon.instance import Instance  # noqa: E402
from chivetrack.helpers.finding import Finding  # noqa: E402
from chivetrack.helpers.log import get_logger, open_logs  # noqa: E402
from chivetrack.helpers.telemetry import open_telemetry  # noqa: E402

_LOGGER = get_logger("daemon")

APP = typer.Typer(add_completion=True, help="Run one instance of a chivetrack fleet.")


def _show_version(value: bool) -> None:
    if value:
        typer.echo(f"chivetrackd {VERSION}")
        raise typer.Exit


def report_findings(findings: Iterable[Finding]) -> int:
    """Print all findings and return the exit code for them."""
    for finding in findings:
        typer.echo(str(finding), err=True)
    return EXIT_SETTINGS


def serve(settings: Settings) -> int:
    """Run an instance until it is stopped, and return the exit code."""
    instance = settings.instance
    encryption = open_encryption(settings)
    if encryption.is_error():
        return report_findings(encryption.error)
    with (
        open_logs(level=settings.log.level, form=settings.log.format),
        open_telemetry(
            instance_id=instance.id,
            region=instance.region,
            availability_zone=instance.availability_zone,
            otlp_endpoint=settings.telemetry.otlp_endpoint,
            sample_ratio=settings.telemetry.sample_ratio,
        ) as telemetry,
    ):
        try:
            daemon = Instance(settings=settings, telemetry=telemetry, encryption=encryption.ok)
        except (OSError, RuntimeError) as error:
            _LOGGER.error("Cannot start: {}.", error)
            return EXIT_START
        report = daemon.run()
    return EXIT_CUT if report.cut else EXIT_OK


@APP.command()
def run_daemon(
    config: Annotated[Path, typer.Option(help="The settings file (TOML).")],
    version: Annotated[
        bool,
        typer.Option("--version", callback=_show_version, is_eager=True, help="Show the version."),
    ] = False,
) -> None:
    """Run one instance until SIGTERM.

    Exit codes: 0 stopped and nothing cut; 1 stopped, requests were cut off; 3 the
    settings have faults (all are printed); 4 a listener or a file could not be opened.
    """
    settings = load_settings(config)
    if settings.is_error():
        raise typer.Exit(report_findings(settings.error))
    raise typer.Exit(serve(settings.ok))


def main() -> None:
    """Run the program."""
    APP()


if __name__ == "__main__":
    main()

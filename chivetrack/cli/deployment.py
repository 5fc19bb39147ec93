"""Shared options and error handling of the commands that call a deployment's replicas."""

from typing import Annotated

import typer
from expression import Result

from chivetrack.cli import const
from chivetrack.cli.const import ExitCode
from chivetrack.cli.output import print_error
from chivetrack.cli.session import ValueT
from chivetrack.exceptions import Fault

ReplicaOption = Annotated[
    list[str],
    typer.Option(
        "--replica",
        envvar=const.ENV_REPLICAS,
        help="Control address of a replica, host:port; may be given several times.",
    ),
]
TimeoutOption = Annotated[float, typer.Option(min=0.1, help="Seconds to keep retrying.")]


def get_or_exit(result: Result[ValueT, Fault]) -> ValueT:
    """Return the value, or print the fault and exit with the matching code."""
    if result.is_ok():
        return result.ok
    fault = result.error
    print_error(f"{fault.message} [{fault.code}]")
    raise typer.Exit(_find_exit_code(fault))


def _find_exit_code(fault: Fault) -> ExitCode:
    if fault.status == 404:
        return ExitCode.NOT_FOUND
    if fault.status in (0, 503):
        return ExitCode.UNREACHABLE if fault.status == 0 else ExitCode.UNKNOWN
    return ExitCode.REFUSED

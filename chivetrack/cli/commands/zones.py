"""Evacuated zones of a deployment: order, withdraw, list."""

from typing import Annotated

import typer
from expression import Result

from chivetrack.cli import const
from chivetrack.cli.app import app
from chivetrack.cli.const import ExitCode
from chivetrack.cli.output import Output, format_document, print_error, print_json, print_line
from chivetrack.cli.session import OutputOption, ValueT
from chivetrack.exceptions import Fault
from chivetrack.platform.operator_calls import OperatorCalls

evacuation_app = typer.Typer(
    help="Let the endpoints of a zone get nothing new, and take the zone back.",
    no_args_is_help=True,
)
app.add_typer(evacuation_app, name="evacuation")

ZoneArgument = Annotated[str, typer.Argument(help="Availability zone.")]
ReplicaOption = Annotated[
    list[str],
    typer.Option(
        "--replica",
        envvar=const.ENV_REPLICAS,
        help="Control address of a replica, host:port; may be given several times.",
    ),
]
TimeoutOption = Annotated[float, typer.Option(min=0.1, help="Seconds to go on trying.")]


@evacuation_app.command("order")
def order_evacuation(
    zone: ZoneArgument,
    replica: ReplicaOption,
    timeout: TimeoutOption = const.DEFAULT_TIMEOUT_S,
    output: OutputOption = Output.TABLE,
) -> None:
    """Evacuate a zone: its endpoints get nothing new, what runs there goes on.

    The command ends once the order is safe on a majority of the replicas.
    """
    _order(zone, replica, timeout, output, is_evacuated=True)


@evacuation_app.command("withdraw")
def withdraw_evacuation(
    zone: ZoneArgument,
    replica: ReplicaOption,
    timeout: TimeoutOption = const.DEFAULT_TIMEOUT_S,
    output: OutputOption = Output.TABLE,
) -> None:
    """Take a zone back: its endpoints get requests again."""
    _order(zone, replica, timeout, output, is_evacuated=False)


@evacuation_app.command("list")
def list_evacuations(
    replica: ReplicaOption,
    timeout: TimeoutOption = const.DEFAULT_TIMEOUT_S,
    output: OutputOption = Output.TABLE,
) -> None:
    """List the zones that there was an order for, and since when it holds."""
    zones = _take(OperatorCalls(replicas=replica, timeout_s=timeout).read_zones())
    document = {"zones": [one.describe() for one in zones]}
    if output is Output.JSON:
        print_json(document)
    else:
        print_line(format_document(document))


def _order(
    zone: str, replicas: list[str], timeout_s: float, output: Output, *, is_evacuated: bool
) -> None:
    calls = OperatorCalls(replicas=replicas, timeout_s=timeout_s)
    revision = _take(calls.order_evacuation(zone, is_evacuated=is_evacuated))
    if output is Output.JSON:
        print_json({"zone": zone, "evacuated": is_evacuated, "revision": revision})
        return
    print_line(f"{zone} {'evacuated' if is_evacuated else 'taken back'}: revision {revision}")


def _take(result: Result[ValueT, Fault]) -> ValueT:
    """Return the value, or end the command with what is known about the fault."""
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

"""Commands that order, withdraw and list the evacuations of zones of a deployment."""

from typing import Annotated

import typer

from chivetrack.cli import const
from chivetrack.cli.app import app
from chivetrack.cli.deployment import ReplicaOption, TimeoutOption, get_or_exit
from chivetrack.cli.output import Output, format_document, print_json, print_line
from chivetrack.cli.session import OutputOption
from chivetrack.platform.operator_calls import OperatorClient

evacuation_app = typer.Typer(
    help="Evacuate zones, so that their endpoints get no new requests, and withdraw evacuations.",
    no_args_is_help=True,
)
app.add_typer(evacuation_app, name="evacuation")

ZoneArgument = Annotated[str, typer.Argument(help="Availability zone.")]


@evacuation_app.command("order")
def order_evacuation(
    zone: ZoneArgument,
    replica: ReplicaOption,
    timeout: TimeoutOption = const.DEFAULT_TIMEOUT_S,
    output: OutputOption = Output.TABLE,
) -> None:
    """Evacuate a zone: its endpoints get no new requests, running requests continue.

    The command ends once the order is stored on a majority of the replicas.
    """
    _send_order(zone, replica, timeout, output, is_evacuated=True)


@evacuation_app.command("withdraw")
def withdraw_evacuation(
    zone: ZoneArgument,
    replica: ReplicaOption,
    timeout: TimeoutOption = const.DEFAULT_TIMEOUT_S,
    output: OutputOption = Output.TABLE,
) -> None:
    """Withdraw the evacuation of a zone: its endpoints get requests again."""
    _send_order(zone, replica, timeout, output, is_evacuated=False)


@evacuation_app.command("list")
def list_evacuations(
    replica: ReplicaOption,
    timeout: TimeoutOption = const.DEFAULT_TIMEOUT_S,
    output: OutputOption = Output.TABLE,
) -> None:
    """List the zones with an order, and since when each order is in force."""
    zones = get_or_exit(OperatorClient(replicas=replica, timeout_s=timeout).read_zones())
    document = {"zones": [one.describe() for one in zones]}
    if output is Output.JSON:
        print_json(document)
    else:
        print_line(format_document(document))


def _send_order(
    zone: str, replicas: list[str], timeout_s: float, output: Output, *, is_evacuated: bool
) -> None:
    client = OperatorClient(replicas=replicas, timeout_s=timeout_s)
    revision = get_or_exit(client.order_evacuation(zone, is_evacuated=is_evacuated))
    if output is Output.JSON:
        print_json({"zone": zone, "evacuated": is_evacuated, "revision": revision})
        return
    print_line(f"{zone} {'evacuated' if is_evacuated else 'taken back'}: revision {revision}")

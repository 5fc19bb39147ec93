"""Commands that list and release the quarantined requests of a deployment."""

from typing import Annotated

import typer

from chivetrack.cli import const
from chivetrack.cli.app import app
from chivetrack.cli.deployment import ReplicaOption, TimeoutOption, get_or_exit
from chivetrack.cli.output import Output, format_document, print_json, print_line
from chivetrack.cli.session import OutputOption
from chivetrack.platform.operator_calls import OperatorClient

quarantine_app = typer.Typer(
    help="Requests rejected because they crashed the endpoints that ran them.",
    no_args_is_help=True,
)
app.add_typer(quarantine_app, name="quarantine")

FingerprintArgument = Annotated[
    str, typer.Argument(help="Fingerprint of the request, as shown by list and in the event log.")
]


@quarantine_app.command("list")
def list_quarantine(
    replica: ReplicaOption,
    timeout: TimeoutOption = const.DEFAULT_TIMEOUT_S,
    output: OutputOption = Output.TABLE,
) -> None:
    """List the quarantined requests and the endpoints that each of them crashed."""
    requests = get_or_exit(OperatorClient(replicas=replica, timeout_s=timeout).read_quarantine())
    document = {"requests": [one.describe() for one in requests]}
    if output is Output.JSON:
        print_json(document)
    else:
        print_line(format_document(document))


@quarantine_app.command("release")
def release_request(
    fingerprint: FingerprintArgument,
    replica: ReplicaOption,
    timeout: TimeoutOption = const.DEFAULT_TIMEOUT_S,
    output: OutputOption = Output.TABLE,
) -> None:
    """Release a request from quarantine; only later crashes count against it."""
    client = OperatorClient(replicas=replica, timeout_s=timeout)
    revision = get_or_exit(client.release_request(fingerprint))
    if output is Output.JSON:
        print_json({"fingerprint": fingerprint, "revision": revision})
        return
    print_line(f"{fingerprint} released: revision {revision}")

"""Commands that show the state of the fleet, explain its decisions and drain targets."""

from enum import StrEnum
from typing import Annotated

import typer

from chivetrack.cli.app import app
from chivetrack.cli.client import Request, join_path
from chivetrack.cli.commands.apply import apply_resource
from chivetrack.cli.const import DRAIN_KIND
from chivetrack.cli.models import Document, Resource
from chivetrack.cli.output import Output, format_document, print_json, print_line
from chivetrack.cli.session import OutputOption, get_client, get_or_exit
from chivetrack.components.resources.models import DrainTargetKind


class Subject(StrEnum):
    """Kinds of things that ``explain`` can explain."""

    REQUEST = "request"
    ENDPOINT = "endpoint"


@app.command("status")
def show_status(context: typer.Context, output: OutputOption = Output.TABLE) -> None:
    """Show the leader, its term, the replicas, their lag and the age of the snapshot."""
    _print_document(get_or_exit(get_client(context).read("status")), output)


@app.command("explain")
def explain(
    context: typer.Context,
    subject: Annotated[Subject, typer.Argument(help="What to explain.")],
    id: Annotated[str, typer.Argument(help="Id of the request, or name of the endpoint.")],
    output: OutputOption = Output.TABLE,
) -> None:
    """Explain why a request was sent to its endpoint, or why an endpoint is in use or not.

    The id of a request is in the X-Request-Id header of its answer.
    """
    path = join_path("explain", subject.value, id)
    _print_document(get_or_exit(get_client(context).read(path)), output)


@app.command("drain")
def drain_target(
    context: typer.Context,
    name: Annotated[str, typer.Argument(help="Name of the target to drain.")],
    kind: Annotated[
        DrainTargetKind, typer.Option(help="Kind of the target.")
    ] = DrainTargetKind.ENDPOINT,
    reason: Annotated[str, typer.Option(help="Reason, stored with the drain.")] = "",
    undo: Annotated[bool, typer.Option("--undo", help="Delete the drain.")] = False,
) -> None:
    """Drain an endpoint or a whole zone: it finishes its requests and gets no new ones.

    This creates a drain resource of the same name; `chivetrack describe drain NAME` shows
    its progress, `--undo` deletes it.
    """
    client = get_client(context)
    title = f"{DRAIN_KIND}/{name}"
    if undo:
        get_or_exit(client.send(Request(method="DELETE", path=join_path(DRAIN_KIND, name))))
        print_line(f"{title} accepted: deleted")
        return
    spec: Document = {"target": {"kind": kind.value, "name": name}}
    if reason:
        spec["reason"] = reason
    document = {"kind": DRAIN_KIND, "metadata": {"name": name}, "spec": spec}
    applied = get_or_exit(apply_resource(client, Resource(document)))
    print_line(f"{title} accepted: {applied.change}")


def _print_document(document: Document, output: Output) -> None:
    if output is Output.JSON:
        print_json(document)
        return
    print_line(format_document(document))

"""Commands that list, show and delete resources."""

from collections.abc import Iterator
from typing import Annotated

import typer

from chivetrack.cli import const
from chivetrack.cli.app import app
from chivetrack.cli.client import Client, Request, join_path
from chivetrack.cli.models import Resource
from chivetrack.cli.output import Output, format_document, format_table, print_json, print_line
from chivetrack.cli.session import KindArgument, NameArgument, OutputOption, get_client, get_or_exit

HEADERS = ("NAME", "REVISION", "LABELS", "IN FORCE")


@app.command("get")
def get_resources(
    context: typer.Context,
    kind: KindArgument,
    name: Annotated[str, typer.Argument(help="Name of one resource; all when left out.")] = "",
    output: OutputOption = Output.TABLE,
) -> None:
    """List the resources of a kind, or show one.

    With -o json the result can be changed and given to `chivetrack apply -f`.
    """
    client = get_client(context)
    if name:
        resources = [Resource(get_or_exit(client.read(join_path(kind, name))))]
    else:
        resources = list(list_resources(client, kind))
    if output is Output.JSON:
        documents = [resource.document for resource in resources]
        print_json(documents[0] if name else {"items": documents})
        return
    print_line(format_table(HEADERS, [_write_row(resource) for resource in resources]))


@app.command("describe")
def describe_resource(context: typer.Context, kind: KindArgument, name: NameArgument) -> None:
    """Show everything about one resource, its status included."""
    print_line(format_document(get_or_exit(get_client(context).read(join_path(kind, name)))))


@app.command("delete")
def delete_resource(context: typer.Context, kind: KindArgument, name: NameArgument) -> None:
    """Delete a resource."""
    get_or_exit(get_client(context).send(Request(method="DELETE", path=join_path(kind, name))))
    print_line(f"{kind}/{name} accepted: deleted")


def list_resources(client: Client, kind: str) -> Iterator[Resource]:
    """Yield the resources of a kind, fetched page by page; exit on a failure."""
    query: dict[str, str | int] = {"limit": const.PAGE_SIZE}
    while True:
        page = get_or_exit(client.read(join_path(kind), **query))
        yield from (Resource(item) for item in page.get("items", []))
        next_page = page.get("continue")
        if not next_page:
            return
        query = {"limit": const.PAGE_SIZE, "continue": str(next_page)}


def _write_row(resource: Resource) -> tuple[object, ...]:
    return (resource.name, resource.revision, resource.labels, resource.status.get("inForce"))

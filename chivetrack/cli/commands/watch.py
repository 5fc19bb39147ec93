"""Command that follows the changes of resources."""

from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
import typer

from chivetrack.cli import const
from chivetrack.cli.app import app
from chivetrack.cli.client import Client, Request, join_path
from chivetrack.cli.models import Failure, Resource
from chivetrack.cli.output import Output, print_error, replace_control_characters
from chivetrack.cli.session import (
    KindArgument,
    OutputOption,
    exit_with_failure,
    get_client,
    get_or_exit,
)

STATUS_GONE = 410


class WatchEvent(msgspec.Struct, frozen=True):
    """One line of a watch; a bookmark has a revision but no resource."""

    type: str
    revision: int
    resource: dict[str, Any] | None = None


@app.command("watch")
def watch_resources(
    context: typer.Context,
    kind: KindArgument,
    revision: Annotated[
        int, typer.Option(min=-1, help="Revision after which to begin; -1 for now.")
    ] = -1,
    count: Annotated[
        int, typer.Option(min=0, help="Number of changes after which to end; 0 for no limit.")
    ] = 0,
    output: OutputOption = Output.TABLE,
) -> None:
    """Print the changes of a kind as they happen, until Ctrl-C.

    A lost connection is opened again after the last change that was printed, so none is
    missed or printed twice. When the server no longer has the changes in between, a message
    says so, and the watch continues with the changes from now on.
    """
    client = get_client(context)
    start = find_revision(client, kind) if revision < 0 else revision
    printed = 0
    try:
        for event in follow_changes(client, kind, start):
            _print_event(event, output)
            printed += 1
            if printed == count:
                return
    except (KeyboardInterrupt, BrokenPipeError):
        return


def find_revision(client: Client, kind: str) -> int:
    """Return the current revision."""
    page = get_or_exit(client.read(join_path(kind), limit=1))
    return int(page.get("revision", 0))


def follow_changes(client: Client, kind: str, revision: int) -> Iterator[WatchEvent]:
    """Yield changes after ``revision`` without end; reopen lost connections."""
    backoff = const.INITIAL_BACKOFF_S
    while True:
        query: dict[str, str | int] = {"watch": "true", "revision": revision}
        request = Request(method="GET", path=join_path(kind), query=query)
        with client.open_stream(request) as stream:
            if stream.is_error():
                revision = _get_resume_revision(client, kind, revision, stream.error)
            else:
                for event in _decode_events(stream.ok):
                    backoff = const.INITIAL_BACKOFF_S
                    if event.revision <= revision:
                        continue
                    revision = event.revision
                    if event.resource is not None:
                        yield event
        client.pause(backoff)
        backoff = min(backoff * 2, const.MAX_BACKOFF_S)


def _get_resume_revision(client: Client, kind: str, revision: int, failure: Failure) -> int:
    """Return the revision from which to resume, or exit if a retry cannot help."""
    if failure.status == STATUS_GONE:
        print_error(f"The changes after revision {revision} are no longer kept; some are missed.")
        return find_revision(client, kind)
    if failure.status is not None and failure.status < 500:
        exit_with_failure(failure)
    print_error(str(failure))
    return revision


def _decode_events(lines: Iterator[bytes]) -> Iterator[WatchEvent]:
    for line in lines:
        if not line.strip():
            continue
        try:
            yield msgspec.json.decode(line, type=WatchEvent)
        except msgspec.MsgspecError:
            print_error("The watch sent a line that is not an event; it is opened again.")
            return


def _print_event(event: WatchEvent, output: Output) -> None:
    if output is Output.JSON:
        typer.echo(msgspec.json.encode(event).decode())
        return
    resource = Resource(event.resource or {})
    typer.echo(
        replace_control_characters(
            f"{event.revision}  {event.type}  {resource.kind}/{resource.name}"
        )
    )

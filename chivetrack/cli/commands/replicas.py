"""Commands that add, remove and replace the replicas that hold the durable state."""

from typing import Annotated

import typer

from chivetrack.cli.app import app
from chivetrack.cli.client import Client, Request, join_path
from chivetrack.cli.const import ExitCode
from chivetrack.cli.output import print_error, print_line
from chivetrack.cli.session import exit_with_failure, get_client, get_or_exit

REPLICAS = "replicas"

replica_app = typer.Typer(
    help="Add, remove or replace replicas, one at a time.", no_args_is_help=True
)
app.add_typer(replica_app, name="replica")

IdArgument = Annotated[
    str, typer.Argument(help="Id of the replica, as its instance's log and `status` show it.")
]


@replica_app.command("add")
def add_replica(context: typer.Context, id: IdArgument) -> None:
    """Add a replica; it receives the state first and votes once it has caught up.

    An instance with an empty data folder makes a new id and logs it. `chivetrack status`
    shows how far the replica is.
    """
    _add(get_client(context), id)


@replica_app.command("remove")
def remove_replica(context: typer.Context, id: IdArgument) -> None:
    """Remove a replica for good; its id must not be used again."""
    get_or_exit(get_client(context).send(Request(method="DELETE", path=join_path(REPLICAS, id))))
    print_line(f"replica {id} accepted: removed")


@replica_app.command("replace")
def replace_replica(
    context: typer.Context,
    lost: Annotated[str, typer.Argument(help="Id of the replica whose disk is lost.")],
    id: Annotated[str, typer.Argument(help="The new id that its successor logs.")],
) -> None:
    """Remove a replica whose disk is lost and add its successor under a new id.

    For a replica that still works, add the new one first and remove the old one when
    `chivetrack status` shows that the new one votes.
    """
    if lost == id:
        # The lost disk stored the votes of the replica. Under its old id, the replica could
        # vote a second time in the same term, and two leaders could be elected.
        print_error("The successor needs a new id: a replica with an empty disk may vote twice.")
        raise typer.Exit(ExitCode.USAGE)
    client = get_client(context)
    removal = client.send(Request(method="DELETE", path=join_path(REPLICAS, lost)))
    if removal.is_ok():
        print_line(f"replica {lost} accepted: removed")
    elif removal.error.exit_code is ExitCode.NOT_FOUND:
        print_line(f"replica {lost} was removed before")
    else:
        print_error(f"Replica {lost} was not replaced; run the same command again.")
        exit_with_failure(removal.error)
    _add(client, id)


def _add(client: Client, id: str) -> None:
    document = {"id": id}
    result = client.send(Request(method="POST", path=REPLICAS, document=document))
    if result.is_error():
        print_error(f"To go on: chivetrack replica add {id}")
        exit_with_failure(result.error)
    print_line(f"replica {id} accepted: added, votes once it has caught up")

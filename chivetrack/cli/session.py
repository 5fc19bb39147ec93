"""Shared by all commands: options, creation of the client, and exit on failure."""

from dataclasses import dataclass
from typing import Annotated, NoReturn, TypeVar

import typer
from expression import Result

from chivetrack.cli.client import Client
from chivetrack.cli.const import ExitCode
from chivetrack.cli.models import Failure
from chivetrack.cli.output import Output, print_error, print_findings
from chivetrack.cli.profile import Flags, resolve_connection
from chivetrack.cli.trust import create_context
from chivetrack.helpers.finding import Findings

ValueT = TypeVar("ValueT")

OutputOption = Annotated[
    Output, typer.Option("--output", "-o", help="Form of the result: for people or programs.")
]
KindArgument = Annotated[
    str, typer.Argument(help="Kind of resource, such as endpoint, workspace or drain.")
]
NameArgument = Annotated[str, typer.Argument(help="Name of the resource.")]


@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """One invocation of the command line."""

    flags: Flags

    def open_client(self) -> Client:
        """Return a client, or exit if the connection settings are missing or invalid."""
        result = resolve_connection(self.flags)
        if result.is_error():
            exit_with_findings(result.error, code=ExitCode.USAGE)
        connection = result.ok
        if not connection.server.startswith("https:"):
            return Client(connection=connection, notify=print_error)
        context = create_context(connection)
        if context.is_error():
            exit_with_findings(context.error, code=ExitCode.USAGE)
        return Client(connection=connection, context=context.ok, notify=print_error)


def get_client(context: typer.Context) -> Client:
    """Return a client for the session of the command."""
    session = context.find_object(Session)
    assert session is not None
    return session.open_client()


def exit_with_findings(findings: Findings, *, code: ExitCode = ExitCode.FINDINGS) -> NoReturn:
    """Print findings and exit."""
    print_findings(findings)
    raise typer.Exit(code)


def exit_with_failure(failure: Failure) -> NoReturn:
    """Print what is known about a failed request and exit with the matching code."""
    report_failure(failure)
    raise typer.Exit(failure.exit_code)


def report_failure(failure: Failure) -> None:
    """Print what is known about a failed request."""
    print_error(str(failure))
    print_findings(failure.findings)


def get_or_exit(result: Result[ValueT, Failure]) -> ValueT:
    """Return the value, or print the failure and exit with the matching code."""
    if result.is_error():
        exit_with_failure(result.error)
    return result.ok

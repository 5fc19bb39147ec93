"""What every command shares: options, the client, and how a failure ends a command."""

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
    """One call of the command."""

    flags: Flags

    def open_client(self) -> Client:
        """Return a client, or end the command when it is not said where to connect."""
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
    """Return the client of a command."""
    session = context.find_object(Session)
    assert session is not None
    return session.open_client()


def exit_with_findings(findings: Findings, *, code: ExitCode = ExitCode.FINDINGS) -> NoReturn:
    """Print findings and end the command."""
    print_findings(findings)
    raise typer.Exit(code)


def exit_with_failure(failure: Failure) -> NoReturn:
    """Print what is known about a failed request and end the command."""
    report_failure(failure)
    raise typer.Exit(failure.exit_code)


def report_failure(failure: Failure) -> None:
    """Print what is known about a failed request."""
    print_error(str(failure))
    print_findings(failure.findings)


def get_or_exit(result: Result[ValueT, Failure]) -> ValueT:
    """Return the value, or end the command with what is known about the failure."""
    if result.is_error():
        exit_with_failure(result.error)
    return result.ok

"""Command that creates and replaces resources from files."""

from dataclasses import dataclass
from typing import Annotated

import typer
from expression import Error, Ok, Result

from chivetrack.cli.app import app
from chivetrack.cli.client import Client, Request, join_path
from chivetrack.cli.const import ExitCode
from chivetrack.cli.documents import read_resources
from chivetrack.cli.models import Document, Failure, Resource, get_worst_exit_code
from chivetrack.cli.output import Output, print_json, print_line
from chivetrack.cli.session import OutputOption, exit_with_findings, get_client, report_failure
from chivetrack.helpers.finding import Findings


@dataclass(frozen=True, slots=True, kw_only=True)
class AppliedChange:
    """An accepted change."""

    change: str
    revision: int | None


@app.command("apply")
def apply_files(
    context: typer.Context,
    file: Annotated[
        list[str],
        typer.Option("--file", "-f", help="JSON or .toml file with resources; - for stdin (JSON)."),
    ],
    output: OutputOption = Output.TABLE,
) -> None:
    """Create or replace the resources of files.

    Each resource is reported as accepted, refused (it did not happen) or unknown (it may
    have happened; run the same command again, it does no harm). A resource with
    metadata.revision replaces just this revision; another one replaces what is there now.
    Nothing is sent while a file has findings.
    """
    findings = Findings()
    resources = read_resources(file, findings)
    if len(findings):
        exit_with_findings(findings)
    client = get_client(context)
    codes: list[ExitCode] = []
    reports: list[Document] = []
    for resource in resources:
        result = apply_resource(client, resource)
        codes.append(ExitCode.OK if result.is_ok() else result.error.exit_code)
        reports.append(_write_report(resource, result))
        if output is Output.TABLE:
            _print_outcome(resource, result)
    if output is Output.JSON:
        print_json({"outcomes": reports})
    raise typer.Exit(get_worst_exit_code(codes))


def apply_resource(client: Client, resource: Resource) -> Result[AppliedChange, Failure]:
    """Create a resource or replace the existing one.

    If the resource names a revision, the replacement succeeds only if that revision is
    current; otherwise the revision just read is replaced.
    """
    if resource.revision is not None:
        return _replace(client, resource)
    found = client.read(join_path(resource.kind, resource.name))
    if found.is_error():
        if found.error.exit_code is ExitCode.NOT_FOUND:
            return _create(client, resource)
        return Error(found.error)
    current = Resource(found.ok)
    if current.spec == resource.spec and current.labels == resource.labels:
        return Ok(AppliedChange(change="unchanged", revision=current.revision))
    if current.revision is None:
        return _replace(client, resource)
    return _replace(client, resource.set_revision(current.revision))


def _create(client: Client, resource: Resource) -> Result[AppliedChange, Failure]:
    request = Request(
        method="POST", path=join_path(resource.kind), document=resource.make_desired_document()
    )
    return client.send(request).map(lambda answer: _make_applied("created", answer))


def _replace(client: Client, resource: Resource) -> Result[AppliedChange, Failure]:
    path = join_path(resource.kind, resource.name)
    request = Request(method="PUT", path=path, document=resource.make_desired_document())
    return client.send(request).map(lambda answer: _make_applied("replaced", answer))


def _make_applied(change: str, answer: Document) -> AppliedChange:
    return AppliedChange(change=change, revision=Resource(answer).revision)


def _print_outcome(resource: Resource, result: Result[AppliedChange, Failure]) -> None:
    name = f"{resource.kind}/{resource.name}"
    if result.is_ok():
        applied = result.ok
        revision = "" if applied.revision is None else f", revision {applied.revision}"
        print_line(f"{name} accepted: {applied.change}{revision}")
        return
    print_line(f"{name} {result.error.kind.value}")
    report_failure(result.error)


def _write_report(resource: Resource, result: Result[AppliedChange, Failure]) -> Document:
    report: Document = {"kind": resource.kind, "name": resource.name}
    if result.is_ok():
        applied = result.ok
        return report | {
            "outcome": "accepted",
            "change": applied.change,
            "revision": applied.revision,
        }
    failure = result.error
    return report | {
        "outcome": failure.kind.value,
        "code": failure.code,
        "message": failure.message,
        "request_id": failure.request_id,
        "findings": [
            {"place": found.place, "message": found.message, "hint": found.hint}
            for found in failure.findings
        ],
    }

"""Commands that need no fleet: settings files and keys."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from chivetrack.cli.app import app
from chivetrack.cli.const import ExitCode
from chivetrack.cli.output import Output, print_error, print_findings, print_json, print_line
from chivetrack.cli.session import OutputOption
from chivetrack.helpers.finding import Finding
from chivetrack.helpers.keys import hash_key, make_key

config_app = typer.Typer(help="Check settings files of the daemon.", no_args_is_help=True)
key_app = typer.Typer(help="Make and hash keys.", no_args_is_help=True)
app.add_typer(config_app, name="config")
app.add_typer(key_app, name="key")


@config_app.command("check")
def check_config(
    file: Annotated[Path, typer.Argument(help="Settings file of chivetrackd.")],
    deployment: Annotated[
        bool, typer.Option("--deployment", help="The file is of a router or replica process.")
    ] = False,
    output: OutputOption = Output.TABLE,
) -> None:
    """Check a settings file as the daemon does, and report everything that is wrong."""
    from chivetrack.components.deployment.settings import load_deployment
    from chivetrack.components.settings import load_settings

    result = load_deployment(file) if deployment else load_settings(file)
    findings = list(result.error) if result.is_error() else []
    if output is Output.JSON:
        print_json({"file": str(file), "findings": [_write_finding(found) for found in findings]})
    elif findings:
        print_findings(findings)
        print_error(f"{file}: {len(findings)} findings")
    else:
        print_line(f"{file}: no findings")
    raise typer.Exit(ExitCode.FINDINGS if findings else ExitCode.OK)


@key_app.command("make")
def show_new_key(output: OutputOption = Output.TABLE) -> None:
    """Make a key: give the key to its holder and put the hash into settings or resources.

    The key is shown only once and is not stored.
    """
    key = make_key()
    key_hash = hash_key(key)
    if output is Output.JSON:
        print_json({"key": key, "hash": key_hash})
        return
    print_line(f"key:  {key}\nhash: {key_hash}")


@key_app.command("hash")
def show_hash() -> None:
    """Read a key from stdin and print its hash.

    The key is not an argument, since other users of the machine can see command lines.
    """
    if sys.stdin.isatty():
        print_error("Type the key and press Enter.")
    try:
        print_line(hash_key(sys.stdin.readline().strip()))
    except ValueError as error:
        print_error(str(error))
        raise typer.Exit(ExitCode.FINDINGS) from None


def _write_finding(finding: Finding) -> dict[str, str | None]:
    return {"place": finding.place, "message": finding.message, "hint": finding.hint}

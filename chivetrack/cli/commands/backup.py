"""Copies of the durable state."""

import hashlib
import os
from pathlib import Path
from typing import Annotated

import typer

from chivetrack.cli.app import app
from chivetrack.cli.client import Request
from chivetrack.cli.const import ExitCode
from chivetrack.cli.output import print_error, print_line
from chivetrack.cli.session import get_client, take

BACKUP = "backup"


@app.command("backup")
def write_backup(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="File to write; FILE.sha256 is written beside it.")],
) -> None:
    """Write all durable state to a file.

    The file is whole or not there: it is written aside, synced and then renamed.
    """
    content = take(get_client(context).read_bytes(BACKUP))
    _write_whole(file, content)
    digest = hashlib.sha256(content).hexdigest()
    _write_whole(get_checksum_path(file), f"{digest}  {file.name}\n".encode())
    print_line(f"{file}: {len(content)} bytes, sha256 {digest}")


@app.command("restore")
def restore_backup(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="File that `chivetrack backup` wrote.")],
    yes: Annotated[bool, typer.Option("--yes", help="Do not ask.")] = False,
) -> None:
    """Replace all durable state by that of a backup.

    The checksum beside the file is compared before anything is sent.
    """
    content = read_backup(file)
    if content is None:
        raise typer.Exit(ExitCode.FINDINGS)
    if not yes:
        typer.confirm("This replaces the state of the whole fleet. Go on?", abort=True)
    take(get_client(context).send(Request(method="PUT", path=BACKUP, content=content)))
    print_line(f"{file} accepted: restored")


def read_backup(file: Path) -> bytes | None:
    """Return the content of a backup, or ``None`` after saying why it cannot be used."""
    try:
        content = file.read_bytes()
        noted = get_checksum_path(file).read_text(encoding="utf-8").split()
    except (OSError, UnicodeDecodeError) as error:
        print_error(f"{file}: the backup or its checksum cannot be read: {error}")
        return None
    if not noted or noted[0] != hashlib.sha256(content).hexdigest():
        # A copy that was cut short would otherwise become the state of the fleet.
        print_error(f"{file}: the content does not match {get_checksum_path(file)}")
        return None
    return content


def get_checksum_path(file: Path) -> Path:
    """Return where the checksum of a backup is kept."""
    return file.with_name(f"{file.name}.sha256")


def _write_whole(file: Path, content: bytes) -> None:
    aside = file.with_name(f"{file.name}.partial")
    try:
        with aside.open("wb") as stream:
            stream.write(content)
            stream.flush()
            os.fsync(stream.fileno())
        aside.replace(file)
    except OSError as error:
        print_error(f"{file}: cannot be written: {error.strerror}")
        raise typer.Exit(ExitCode.FINDINGS) from None

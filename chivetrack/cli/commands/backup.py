"""Commands that back up the durable state and restore it."""

import hashlib
import os
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import typer

from chivetrack.cli.app import app
from chivetrack.cli.const import ExitCode
from chivetrack.cli.output import print_error, print_line
from chivetrack.cli.session import get_client, get_or_exit
from chivetrack.components.storage.backup import make_replica_id
from chivetrack.components.storage.backup import restore_backup as make_folder_from_backup
from chivetrack.components.storage.exceptions import StorageError
from chivetrack.components.storage.records import Identity

BACKUP = "backup"


@app.command("backup")
def write_backup(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="File to write; FILE.sha256 is written beside it.")],
) -> None:
    """Write all durable state to a file.

    The file is complete or absent: it is written under another name, synced and then renamed.
    """
    content = get_or_exit(get_client(context).read_bytes(BACKUP))
    _write_atomically(file, content)
    digest = hashlib.sha256(content).hexdigest()
    _write_atomically(get_checksum_path(file), f"{digest}  {file.name}\n".encode())
    print_line(f"{file}: {len(content)} bytes, sha256 {digest}")


@app.command("restore")
def restore_folder(
    file: Annotated[Path, typer.Argument(help="File that `chivetrack backup` wrote.")],
    folder: Annotated[Path, typer.Option(help="Data folder to make; must be empty or absent.")],
    instance: Annotated[str, typer.Option(help="Id of the instance that will use it.")],
    yes: Annotated[bool, typer.Option("--yes", help="Do not ask.")] = False,
) -> None:
    """Make a data folder from a backup, for the first replica of a new log.

    Run it on that instance, while the replicas of the old log are stopped for good: two
    logs would each accept changes. The checksum beside the file is compared first.
    """
    content = read_backup(file)
    if content is None:
        raise typer.Exit(ExitCode.FINDINGS)
    if not yes:
        typer.confirm("The old replicas must never start again. Go on?", abort=True)
    replica_id = make_replica_id(instance_id=instance, random=SystemRandom())
    identity = Identity(replica_id, instance)
    try:
        make_folder_from_backup(file, folder=folder, identity=identity)
    except StorageError as error:
        print_error(str(error))
        raise typer.Exit(ExitCode.FINDINGS) from None
    print_line(f"{folder}: made from {file} for replica {replica_id}")


def read_backup(file: Path) -> bytes | None:
    """Return the content of a backup; print why it cannot be used and return ``None``."""
    try:
        content = file.read_bytes()
        checksum_fields = get_checksum_path(file).read_text(encoding="utf-8").split()
    except (OSError, UnicodeDecodeError) as error:
        print_error(f"{file}: the backup or its checksum cannot be read: {error}")
        return None
    if not checksum_fields or checksum_fields[0] != hashlib.sha256(content).hexdigest():
        # A truncated copy would otherwise become the state of the fleet.
        print_error(f"{file}: the content does not match {get_checksum_path(file)}")
        return None
    return content


def get_checksum_path(file: Path) -> Path:
    """Return the path of a backup's checksum file."""
    return file.with_name(f"{file.name}.sha256")


def _write_atomically(file: Path, content: bytes) -> None:
    partial_file = file.with_name(f"{file.name}.partial")
    try:
        with partial_file.open("wb") as stream:
            stream.write(content)
            stream.flush()
            os.fsync(stream.fileno())
        partial_file.replace(file)
    except OSError as error:
        print_error(f"{file}: cannot be written: {error.strerror}")
        raise typer.Exit(ExitCode.FINDINGS) from None

"""Entry point of the ``chivetrack`` command."""

import sys
import traceback

from chivetrack.cli.app import app
from chivetrack.cli.commands import (
    apply,
    backup,
    explain,
    fleet,
    local,
    quarantine,
    replicas,
    resources,
    story,
    watch,
    zones,
)
from chivetrack.cli.const import ExitCode

COMMANDS = (
    resources,
    apply,
    watch,
    fleet,
    replicas,
    backup,
    local,
    story,
    zones,
    quarantine,
    explain,
)


def main() -> None:
    """Run one command and exit with its exit code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command; return its exit code.

    An uncaught exception would exit with 1, which programs read as "refused, it did not
    happen", although the change may have been sent already.
    """
    try:
        app(arguments, prog_name="chivetrack")
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else ExitCode.OK
    except Exception:
        traceback.print_exc()
        return ExitCode.FAULT
    return ExitCode.OK


if __name__ == "__main__":
    main()

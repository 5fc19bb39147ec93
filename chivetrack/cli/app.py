"""The typer app, and the options that precede the command."""

from typing import Annotated

import typer

from chivetrack.cli import const
from chivetrack.cli.profile import Flags
from chivetrack.cli.session import Session
from chivetrack.const import VERSION

HELP = """Create, change and watch the resources of a chivetrack fleet.

Say where the fleet is with --server, or with CHIVETRACK_SERVER, or in a profile
(profiles.toml: [default] server = "https://10.0.0.1:8081", key = "...", ca = "..."),
in this order. CHIVETRACK_KEY holds your key; --key works too, but other users of the
machine can see it in the list of processes.
"""

app = typer.Typer(
    name="chivetrack",
    help=HELP,
    epilog=const.EXIT_CODE_HELP,
    no_args_is_help=True,
    rich_markup_mode=None,
    # A traceback that shows local variables could reveal a key.
    pretty_exceptions_show_locals=False,
    pretty_exceptions_enable=False,
)


def _print_version(is_requested: bool) -> None:
    if is_requested:
        typer.echo(f"chivetrack {VERSION}")
        raise typer.Exit


@app.callback()
def open_session(
    context: typer.Context,
    server: Annotated[
        str,
        typer.Option(help="Resource API of any instance, such as https://10.0.0.1:8081."),
    ] = "",
    key: Annotated[str, typer.Option(help="Your operator key; better in CHIVETRACK_KEY.")] = "",
    ca: Annotated[str, typer.Option(help="File of the authorities to trust, in PEM form.")] = "",
    profile: Annotated[str, typer.Option(help="Profile to use instead of [default].")] = "",
    timeout: Annotated[
        float,
        typer.Option(min=0.1, help="Seconds to keep retrying while the outcome is not known."),
    ] = const.DEFAULT_TIMEOUT_S,
    version: Annotated[
        bool,
        typer.Option(
            "--version", callback=_print_version, is_eager=True, help="Print the version."
        ),
    ] = False,
) -> None:
    """Store the options for the command that follows."""
    context.obj = Session(
        flags=Flags(server=server, key=key, ca=ca, profile=profile, timeout_s=timeout)
    )

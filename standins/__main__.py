"""Run a stand-in: ``python -m standins link ...``."""

from gevent import monkey

monkey.patch_all()

import typer  # noqa: E402

from standins import link  # noqa: E402

APP = typer.Typer()
APP.command("link")(link.main)


@APP.callback()
def choose() -> None:
    """Run one of the stand-ins."""


if __name__ == "__main__":
    APP()

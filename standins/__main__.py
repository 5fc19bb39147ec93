"""Command line of the stand-ins: ``python -m standins endpoint|balancer|link|crowd``."""

# Patching must precede every other import. bottle keeps the current request in a thread-local;
# if that is created before the patch, all greenlets share it, and a request reads the body and
# id of a concurrent request.
from gevent import monkey

monkey.patch_all()

import typer  # noqa: E402

from standins import crowd, endpoint, link, relay  # noqa: E402

APP = typer.Typer(help="Stand-ins for the systems around a fleet.")
APP.command("endpoint")(endpoint.main)
APP.command("balancer")(relay.main)
APP.command("link")(link.main)
APP.command("crowd")(crowd.main)

if __name__ == "__main__":
    APP()

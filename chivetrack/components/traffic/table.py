"""Looks up routes by host and path, and workspaces by key."""

from chivetrack.components.traffic.models import Document, Route, Service, Workspace


class RouteTable:
    """An immutable index of one configuration document."""

    def __init__(self, *, document: Document) -> None:
        """Index the routes, keys and services of a document."""
        self.document = document
        self._routes = {(route.host.lower(), route.prefix): route for route in document.routes}
        self._services = {service.name: service for service in document.services}
        self._workspaces = {
            key: workspace for workspace in document.workspaces or () for key in workspace.keys
        }

    @property
    def version(self) -> int:
        """Return the version of the document."""
        return self.document.version

    @property
    def needs_keys(self) -> bool:
        """Return whether requests on routes that are not public must carry a key."""
        return self.document.workspaces is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of ``path``, or ``None``.

        ``host`` may include a port; ``path`` is the raw path without a query. The cost grows
        with the number of path segments, not with the number of routes.
        """
        name = _strip_port(host).lower()
        end = path.rfind("/") + 1
        while end > 0:
            route = self._routes.get((name, path[:end]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to, or ``None``."""
        return self._workspaces.get(key)

    def find_service(self, name: str) -> Service | None:
        """Return a service by name, or ``None``."""
        return self._services.get(name)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host

"""Operations that read resources: get, list and watch."""

from collections.abc import Sequence

from expression import Error, Ok, Result

from chivetrack.components.resource_api import const
from chivetrack.components.resource_api.models import (
    ApiRequest,
    Json,
    ObservedResource,
    OperationResult,
    Ports,
    Problem,
    Reply,
    Stream,
)
from chivetrack.components.resource_api.operations import Parameter, operation
from chivetrack.components.resource_api.paging import Continuation, decode_token, encode_token
from chivetrack.components.resource_api.problems import make_problem
from chivetrack.components.resource_api.rendering import render_observed, render_record
from chivetrack.components.resource_api.watch import watch_changes
from chivetrack.components.store.queries import GetResource, ListResources

PAGE_PARAMETERS = (
    Parameter(name="limit", type="integer", summary="Largest number of resources in a page."),
    Parameter(name="continue", type="string", summary="The token of the previous page."),
    Parameter(name="watch", type="boolean", summary="Stream changes instead of a list."),
    Parameter(name="revision", type="integer", summary="Stream the changes after this revision."),
)


@operation("get", "GET", has_name=True, statuses=(200, 404, 503))
def get_resource(ports: Ports, request: ApiRequest) -> OperationResult:
    """Return one resource."""
    if not request.kind.stored:
        return _get_observed(ports, request)
    result = ports.read(GetResource(request.kind.name, request.name))
    if result.is_error():
        return Error(Problem(fault=result.error))
    records = result.ok.records
    if not records:
        return Error(_make_not_found(request))
    return Ok(Reply(status=200, body=render_record(request.kind.name, records[0])))


@operation("list", "GET", has_name=False, statuses=(200, 400, 410, 503), parameters=PAGE_PARAMETERS)
def list_resources(ports: Ports, request: ApiRequest) -> OperationResult:
    """Return the resources of a kind in pages, or stream their changes.

    All pages of a stored kind carry the revision of the first page: a watch that starts
    there returns the changes that were made while the pages were read.
    """
    if request.query.get("watch", "").lower() in ("true", "1"):
        return _watch(ports, request)
    parsed = _parse_page(request)
    if parsed.is_error():
        return Error(parsed.error)
    limit, continuation = parsed.ok
    if not request.kind.stored:
        return Ok(_list_observed(ports, request, limit, continuation))
    result = ports.read(ListResources(request.kind.name, continuation.after, limit))
    if result.is_error():
        return Error(Problem(fault=result.error))
    answer = result.ok
    items = [render_record(request.kind.name, record) for record in answer.records]
    revision = continuation.revision or answer.revision
    return Ok(_make_list(request, items, revision, answer.next_after))


def _get_observed(ports: Ports, request: ApiRequest) -> OperationResult:
    for observed in _observe(ports, request):
        if observed.name == request.name:
            return Ok(Reply(status=200, body=render_observed(request.kind.name, observed)))
    return Error(_make_not_found(request))


def _list_observed(
    ports: Ports, request: ApiRequest, limit: int, continuation: Continuation
) -> Reply:
    ordered = sorted(_observe(ports, request), key=lambda observed: observed.name)
    rest = [observed for observed in ordered if observed.name > continuation.after]
    page = rest[:limit]
    next_after = page[-1].name if len(rest) > limit else ""
    items = [render_observed(request.kind.name, observed) for observed in page]
    return _make_list(request, items, ports.view.revision, next_after)


def _observe(ports: Ports, request: ApiRequest) -> Sequence[ObservedResource]:
    observe = ports.observed.get(request.kind.name)
    return () if observe is None else observe()


def _make_list(request: ApiRequest, items: list[Json], revision: int, next_after: str) -> Reply:
    token = encode_token(Continuation(next_after, revision)) if next_after else None
    body = {
        "kind": request.kind.name,
        "revision": revision,
        "items": items,
        "continue": token,
    }
    return Reply(status=200, body=body)


def _watch(ports: Ports, request: ApiRequest) -> OperationResult:
    if not request.kind.stored:
        message = f"{request.kind.name} resources are observed and can't be watched"
        return Error(make_problem("not_watchable", message, status=400))
    table = ports.view.table
    requested = request.query.get("revision")
    if requested is not None and not requested.isdecimal():
        return Error(make_problem("invalid_parameter", "revision must be a number", status=400))
    revision = ports.view.revision if requested is None else int(requested)
    if revision < table.compaction_revision:
        message = f"changes up to revision {table.compaction_revision} are no longer kept"
        return Error(make_problem("compacted", message, status=410))
    interval = ports.bookmark_interval_s or const.BOOKMARK_INTERVAL_S
    lines = watch_changes(
        ports.view, request.kind.name, revision=revision, bookmark_interval_s=interval
    )
    return Ok(Stream(lines=lines))


def _parse_page(request: ApiRequest) -> Result[tuple[int, Continuation], Problem]:
    requested = request.query.get("limit", str(const.DEFAULT_PAGE_SIZE))
    if not requested.isdecimal() or not 1 <= int(requested) <= const.MAX_PAGE_SIZE:
        message = f"limit must be a number from 1 to {const.MAX_PAGE_SIZE}"
        return Error(make_problem("invalid_parameter", message, status=400))
    token = request.query.get("continue", "")
    if not token:
        return Ok((int(requested), Continuation("", 0)))
    continuation = decode_token(token)
    if continuation is None:
        message = "continue must be the token of the previous page"
        return Error(make_problem("invalid_parameter", message, status=400))
    return Ok((int(requested), continuation))


def _make_not_found(request: ApiRequest) -> Problem:
    message = f"there is no {request.kind.name}/{request.name}"
    return make_problem("not_found", message, status=404)

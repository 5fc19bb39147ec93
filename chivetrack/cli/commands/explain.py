"""Command that explains where a request would go now, without sending it."""

from typing import Annotated

import msgspec
import typer
import urllib3

from chivetrack.cli import const
from chivetrack.cli.app import app
from chivetrack.cli.const import ExitCode
from chivetrack.cli.output import Output, print_error, print_json, print_line
from chivetrack.cli.session import OutputOption
from chivetrack.components.placement.explanation import (
    PATH_EXPLAIN,
    ExplainedEndpoint,
    ExplainQuery,
    Explanation,
)
from chivetrack.components.upstream.strict_pool import open_pool_manager, request_whole

STATUS_OK = 200


@app.command("explain-request")
def explain_request(
    host: Annotated[str, typer.Argument(help="Host of the request.")],
    path: Annotated[str, typer.Argument(help="Path of the request.")],
    router: Annotated[str, typer.Option(help="Metrics address of a router, IP:PORT.")],
    key: Annotated[str, typer.Option(help="API key of the caller.")] = "",
    request_id: Annotated[str, typer.Option(help="Id, for routes with several services.")] = "",
    part: Annotated[
        list[str] | None, typer.Option(help="A part of the prompt, ID:TOKENS; the last its own.")
    ] = None,
    prompt_tokens: Annotated[int, typer.Option(help="Tokens of the whole prompt.")] = 0,
    timeout: Annotated[float, typer.Option(help="Time limit (s).")] = const.DEFAULT_TIMEOUT_S,
    output: OutputOption = Output.TABLE,
) -> None:
    """Explain where a request would go now, and why, without sending it.

    The router decides as it would for the request itself, and lists each endpoint with its cost
    or the reason why it is left out.
    """
    query = ExplainQuery(
        host=host,
        path=path,
        key=key,
        request_id=request_id,
        parts=tuple(part or ()),
        prompt_tokens=prompt_tokens,
    )
    explanation = _ask(router, query, timeout)
    if output is Output.JSON:
        print_json(msgspec.to_builtins(explanation))
    else:
        _print(explanation)
    if not explanation.endpoint:
        raise typer.Exit(ExitCode.FINDINGS)


def _ask(router: str, query: ExplainQuery, timeout_s: float) -> Explanation:
    body = msgspec.json.encode(query)
    try:
        with open_pool_manager(timeout=timeout_s, retries=False) as pools:
            answer = request_whole(pools, "POST", f"http://{router}{PATH_EXPLAIN}", body=body)
        if answer.status == STATUS_OK:
            return msgspec.json.decode(answer.body, type=Explanation)
        detail = f"status {answer.status}: {answer.body.decode(errors='replace')[:200]}"
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
        detail = str(error)
    print_error(f"the router at {router} explains nothing: {detail}")
    raise typer.Exit(ExitCode.UNREACHABLE)


def _print(explanation: Explanation) -> None:
    goal = explanation.endpoint or "refused"
    print_line(f"{goal}: {explanation.why}")
    print_line(
        f"route {explanation.route or '-'}, service {explanation.service or '-'}, workspace"
        f" {explanation.workspace or '-'}, rank {explanation.rank}, configuration"
        f" {explanation.version}"
    )
    if explanation.is_scheduled:
        print_line("the service runs short of slots: the leading replica grants the endpoint")
    for one in explanation.endpoints:
        print_line("  " + _format_endpoint(one))


def _format_endpoint(one: ExplainedEndpoint) -> str:
    words = [f"{one.endpoint:<24} {one.zone:<12} running {one.running}/{one.slots}"]
    words.append(f"cost {one.cost_ms:g} ms, {one.location_ms:g} of it without load,")
    words.append(f"expected {one.expected_ms:g} ms")
    if one.missing_tokens:
        words.append(f"missing {one.missing_tokens} tokens")
    if one.fetch_from:
        words.append(f"fetch from {one.fetch_from}")
    if one.left_out:
        words.append(f"left out: {one.left_out}")
    return " ".join(words)

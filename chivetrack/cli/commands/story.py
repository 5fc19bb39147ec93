"""Command that reconstructs from event logs what happened to a request."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from chivetrack.cli.app import app
from chivetrack.cli.const import ExitCode
from chivetrack.cli.output import Output, print_error, print_json, print_line
from chivetrack.cli.session import OutputOption
from chivetrack.components.stories.story import RequestStory, build_story, format_event, read_events


@app.command("story")
def show_story(
    request: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Logs of any instances; none: standard input.")
    ] = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show from event lines what happened to a request; the last line names the cause.

    The lines may come from several instances and be in any order.
    """
    lines: list[str] = []
    for file in files or ():
        lines += file.read_text(errors="replace").splitlines()
    if not files:
        lines = sys.stdin.read().splitlines()
    story = build_story(request, read_events(lines))
    if story is None:
        print_error(f"no line names the request {request!r}")
        raise typer.Exit(ExitCode.FINDINGS)
    if output is Output.JSON:
        steps = [step.describe() for step in story.steps]
        print_json(
            {"request": request, "events": story.events, "steps": steps, "cause": story.cause}
        )
        return
    _print_story(story)


def _print_story(story: RequestStory) -> None:
    for event in story.timeline:
        mark = "*" if event.get("request") == story.request else " "
        print_line(f"{mark} {format_event(event)}")
    for number, step in enumerate(story.steps, start=1):
        print_line(f"stream {number}: {step.describe()}")
    print_line(f"cause: {story.cause}")

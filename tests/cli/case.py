"""Base class of tests that run commands in this process against a stand-in server."""

import contextlib
import functools
import io
import json
import random
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

from chivetrack.cli import const
from chivetrack.cli.__main__ import run
from chivetrack.cli.client import Client
from tests.cli.stand_in import open_stand_in

MAX_COMMAND_S = 600.0


@dataclass(frozen=True)
class CommandResult:
    code: int
    out: str
    err: str


class Clock:
    """A clock that advances only during sleeps; each sleep takes ``wake_delay_s`` longer."""

    def __init__(self) -> None:
        self.now = 0.0
        self.wake_delay_s = 0.0

    def read(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds + self.wake_delay_s
        if self.now > MAX_COMMAND_S:
            raise RuntimeError("the command did not end within the time limit")


class CliCase(unittest.TestCase):
    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.server = stack.enter_context(open_stand_in())
        self.environment = {
            const.ENV_SERVER: self.server.url,
            const.ENV_PROFILE_FILE: str(self.folder / "profiles.toml"),
        }
        self.clock = Clock()
        client = functools.partial(
            Client, clock=self.clock.read, sleep=self.clock.sleep, rng=random.Random(1)
        )
        stack.enter_context(mock.patch("chivetrack.cli.session.Client", client))

    def run_command(self, *arguments: str) -> CommandResult:
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch.dict("os.environ", self.environment, clear=True),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            code = run(list(arguments))
        return CommandResult(code, out.getvalue(), err.getvalue())

    def write(self, name: str, content: Any) -> str:
        path = self.folder / name
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

"""Runs commands in this process against the stand-in."""

import contextlib
import io
import json
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

from chivetrack.cli import const
from chivetrack.cli.__main__ import run
from tests.cli.stand_in import open_stand_in


@dataclass(frozen=True)
class Ended:
    code: int
    out: str
    err: str


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
        for name in ("FIRST_BACKOFF_S", "MAX_BACKOFF_S"):
            stack.enter_context(mock.patch.object(const, name, 0.001))

    def run_command(self, *arguments: str) -> Ended:
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch.dict("os.environ", self.environment, clear=True),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            code = run(list(arguments))
        return Ended(code, out.getvalue(), err.getvalue())

    def write(self, name: str, content: Any) -> str:
        path = self.folder / name
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

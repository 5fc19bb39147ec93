"""Tests that the operators' pages match the code: commands, settings, metrics and links."""

import re
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import typer

from chivetrack.cli.__main__ import app
from chivetrack.cli.const import ExitCode
from chivetrack.components.deployment.settings import DeploymentSettings
from chivetrack.components.settings.config import find_inner_model
from chivetrack.components.settings.models import Settings
from chivetrack.helpers.telemetry import open_telemetry
from chivetrack.helpers.telemetry.instruments import INSTRUMENTS, Direction

DOCS = Path(__file__).resolve().parents[1] / "docs"
PAGES = [*sorted((DOCS / "operators").glob("*.md")), DOCS / "glossary.md"]
COMMAND = re.compile(r"(?:^    +|`)chivetrack ([^`\n]+)", re.MULTILINE)
LINK = re.compile(r"\]\(([^)#]+)\)")
# Sections that only the settings of the deployed processes have, with their keys.
DEPLOYED_SECTIONS = {
    section.name: [one.name for one in msgspec.structs.fields(section.type)]
    for section in msgspec.structs.fields(DeploymentSettings)
    if section.name not in Settings.model_fields
}
SETTING = re.compile(r"`\[([a-z]+)\] ([a-z_]+)")


def read_pages() -> Iterator[tuple[str, str]]:
    for page in PAGES:
        yield page.name, page.read_text(encoding="utf-8")


class PageTest(unittest.TestCase):
    def test_commands_and_their_options_exist(self) -> None:
        checked = 0
        for name, text in read_pages():
            for line in COMMAND.findall(text):
                with self.subTest(page=name, line=line):
                    self.check_command(line.split())
                    checked += 1
        self.assertGreater(checked, 30)

    def check_command(self, words: list[str]) -> None:
        command: Any = typer.main.get_command(app)
        options = {option for param in command.params for option in param.opts}
        while words and words[0].startswith("--"):
            self.assertIn(words[0], options)
            words = words[2:]
        while hasattr(command, "commands"):
            self.assertTrue(words, "a command is missing")
            names = words.pop(0).split("|")
            for name in names:
                self.assertIn(name, command.commands)
            command = command.commands[names[0]]
        options = {option for param in command.params for option in param.opts}
        for word in words:
            if word.startswith("-"):
                self.assertIn(word, options)

    def test_links_resolve(self) -> None:
        for name, text in read_pages():
            for link in LINK.findall(text):
                with self.subTest(page=name, link=link):
                    page = DOCS / name if name == "glossary.md" else DOCS / "operators" / name
                    self.assertTrue((page.parent / link).exists())

    def test_settings_exist(self) -> None:
        for name, text in read_pages():
            for section, key in SETTING.findall(text):
                with self.subTest(page=name, setting=f"{section}.{key}"):
                    if section in DEPLOYED_SECTIONS:
                        self.assertIn(key, DEPLOYED_SECTIONS[section])
                        continue
                    model = find_inner_model(Settings.model_fields[section].annotation)
                    self.assertIn(key, model.model_fields)

    def test_exit_codes_are_listed(self) -> None:
        text = (DOCS / "operators" / "first-start.md").read_text(encoding="utf-8")
        listed = [int(code) for code in re.findall(r"^\| (\d+) \|", text, re.MULTILINE)]
        self.assertEqual(listed, sorted(ExitCode))

    def test_metrics_are_those_in_code(self) -> None:
        text = (DOCS / "operators" / "telemetry.md").read_text(encoding="utf-8")
        rows = re.findall(
            r"^\| `(chivetrack_\w+)` \| `(\S+)` \| `(\S+)` \| (.*) \| (.*) \|$", text, re.M
        )
        with open_telemetry(instance_id="r1") as telemetry:
            self.record_all_metrics(telemetry.instruments)
            rendered = telemetry.render_metrics().decode()
        self.assertEqual([row[1] for row in rows], list(INSTRUMENTS))
        for exported, name, unit, attributes, description in rows:
            with self.subTest(name=name):
                spec = INSTRUMENTS[name]
                labels = ", ".join(f"`{label}`" for label in spec.attributes) or "-"
                self.assertEqual((unit, description), (spec.unit, spec.description))
                self.assertEqual(attributes, labels)
                self.assertIn(f"# TYPE {exported} ", rendered)

    def record_all_metrics(self, instruments: Any) -> None:
        instruments.record_request(service="s", code="ok", duration_s=1.0)
        instruments.record_first_chunk(service="s", duration_s=1.0)
        instruments.record_chunks(service="s", count=1)
        instruments.change_in_flight(1)
        instruments.record_retry(reason="connect")
        instruments.record_refusal(code="c", ran="no")
        instruments.record_control_bytes(direction=Direction.SENT, kind="k", count=1)
        instruments.set_config_revision(1)
        instruments.set_leader(False)
        instruments.set_applied_lag(0)

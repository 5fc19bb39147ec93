"""Deployment files: the rendered settings must be accepted by the programs."""

import re
import tomllib
import unittest
from pathlib import Path
from typing import Any

from chivetrack.components.deployment.settings import ProcessRole, parse_deployment

ROOT = Path(__file__).resolve().parents[2]

ROUTER: dict[str, Any] = {
    "nodeName": "front-1",
    "role": "router",
    "zone": "z1",
    "ip": "10.1.0.40",
    "dataDir": None,
    "internalPorts": [7340, 7355],
    "listen": {"front": "10.1.0.40:8227", "readyAddr": "10.1.0.40:8220"},
    "seeds": ["10.1.0.43:8229", "10.2.0.32:8229", "10.3.0.21:8229"],
    "bootstrap": True,
    "zones": {"z1": "kyushu", "z2": "kyushu"},
    "faultTolerance": {"machines": 2},
    "bounds": {"retryBudgetRatio": 0.2, "retrySlack": 58, "budgetWindowS": 10, "graceS": 8},
}
REPLICA = {
    **ROUTER,
    "role": "replica",
    "dataDir": "/data/replica",
    "listen": {"control": "10.1.0.43:8229"},
}


def find(fields: dict[str, Any], path: str) -> Any:
    """Return the field at a dotted path, ``None`` if there is none."""
    value: Any = fields
    for name in path.split("."):
        value = value[int(name)] if isinstance(value, list) else (value or {}).get(name)
    return value


def render(template: str, fields: dict[str, Any]) -> str:
    """Render the subset of the platform's template language that the template here uses."""

    def fill_section(match: re.Match[str]) -> str:
        section = find(fields, match[1])
        if not isinstance(section, dict):
            return match[2] if section else ""
        last = list(section)[-1]
        return "".join(
            match[2].replace("{{@}}", key).replace("{{,}}", "" if key == last else ",")
            for key in section
        )

    def fill(match: re.Match[str]) -> str:
        value = find(fields, match[1])
        if match[2] is None:
            return "" if value is None else str(value)
        return str(value).replace("'", '"').replace("True", "true").replace("False", "false")

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


class DeployTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.template = (ROOT / "deploy/settings.toml.template").read_text()

    def test_rendered_settings_are_accepted(self) -> None:
        for fields, role in ((ROUTER, ProcessRole.ROUTER), (REPLICA, ProcessRole.REPLICA)):
            settings = parse_deployment(render(self.template, fields), source="rendered")
            self.assertTrue(
                settings.is_ok(), [str(one) for one in settings.swap().default_value([])]
            )
            self.assertIs(settings.ok.process.role, role)
            self.assertEqual(settings.ok.fleet.tolerated_losses, 2)
            self.assertEqual(settings.ok.fleet.zones, ("z1", "z2"))
            self.assertEqual(settings.ok.bounds.retry_slack, 58)

    def test_faults_are_reported_together_with_their_lines(self) -> None:
        text = render(self.template, REPLICA).replace("data_folder", "data_foldr")
        text = text.replace('control = "10.1.0.43:8229"', "")
        findings = parse_deployment(text, source="file").error
        text_of_findings = " ".join(str(one) for one in findings)
        self.assertIn("data_foldr", text_of_findings)
        self.assertIn("did you mean 'data_folder'?", text_of_findings)
        self.assertGreaterEqual(len(list(findings)), 1)

    def test_roles_refer_to_existing_files(self) -> None:
        for role in self.deploy["roles"].values():
            self.assertTrue((ROOT / role["template"]).is_file())
            self.assertIn("chivetrack.daemon.fleet", role["run"])
        script = self.deploy["build"].split()[-1]
        self.assertTrue((ROOT / script).is_file())

    def test_runtime_requirements_are_pinned_by_the_project(self) -> None:
        pins = set((ROOT / "requirements.txt").read_text().splitlines())
        runtime = set((ROOT / "requirements-runtime.txt").read_text().splitlines())
        self.assertLess(runtime, pins)

    def test_day_files_are_valid(self) -> None:
        for path in (ROOT / "deploy/days").glob("*.toml"):
            day = tomllib.loads(path.read_text())
            entries = day.pop("plan", []) + day.pop("faults", [])
            self.assertTrue(entries, path.name)
            self.assertEqual(day.pop("name"), path.stem)
            for changed in day.pop("classes", []):
                self.assertEqual(set(changed), {"name", "retries"}, path.name)
            self.assertLessEqual(set(day), {"seed", "closing", "length_s"}, path.name)
            for entry in entries:
                self.assertIsInstance(entry["at"], float, path.name)
                self.assertTrue(entry["kind"], path.name)


if __name__ == "__main__":
    unittest.main()

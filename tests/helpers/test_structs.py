"""Settings described by structs: all faults are reported, with their lines."""

import unittest
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from chivetrack.helpers.sections.structs import StructSection, parse_structs
from chivetrack.helpers.sections.text import Problem
from chivetrack.helpers.sections.values import Address, LogLevel


class Place(StructSection, frozen=True, kw_only=True):
    name: Annotated[str, Meta(min_length=1)]
    level: LogLevel = LogLevel.INFO
    folder: Path | None = None


class Links(StructSection, frozen=True, kw_only=True):
    peers: Annotated[tuple[Address, ...], Meta(min_length=1)]
    main: Annotated[Address | None, Meta(description="-")] = None
    wait_s: Annotated[float, Meta(gt=0)] = 1.0


class SampleSettings(msgspec.Struct, frozen=True, kw_only=True):
    place: Place
    links: Links


def check(valid: Mapping[str, StructSection]) -> Iterator[Problem]:
    place = valid.get("place")
    if isinstance(place, Place) and place.name == "forbidden":
        yield Problem(path=("place", "name"), message="is taken")


class StructsTest(unittest.TestCase):
    def list_findings(self, text: str) -> list[str]:
        read = parse_structs(text, source="f", model=SampleSettings, check=check)
        return [str(one) for one in read.error]

    def test_valid_text_is_read(self) -> None:
        text = '[place]\nname = "a"\nlevel = "debug"\nfolder = "/d"\n'
        text += '[links]\npeers = ["10.0.0.1:1", "[::1]:2"]\nmain = "10.0.0.9:3"\nwait_s = 2\n'
        read = parse_structs(text, source="f", model=SampleSettings, check=check).ok
        self.assertEqual(read.place, Place(name="a", level=LogLevel.DEBUG, folder=Path("/d")))
        self.assertEqual(read.links.peers, (Address("10.0.0.1", 1), Address("::1", 2)))
        self.assertEqual(read.links.main, Address("10.0.0.9", 3))
        self.assertEqual(read.links.wait_s, 2.0)

    def test_all_faults_are_reported_together(self) -> None:
        """Guards against one fault per start: a file with eight would need eight attempts."""
        text = '[place]\nnaem = "a"\nlevel = "loud"\nfolder = 3\n'
        text += '[links]\npeers = ["10.0.0.1:1", "host:2"]\nmain = 7\nwait_s = 0\n[other]\n'
        found = " / ".join(self.list_findings(text))
        for words in (
            "f:9 other: is not a setting",
            "f:2 place.naem: is not a setting (did you mean 'name'?)",
            "f:1 place.name: is missing",
            "f:3 place.level: invalid",
            "f:4 place.folder: must be a path",
            "f:6 links.peers[2]: 'host' is not an IP number",
            "f:7 links.main: must be a text",
            "f:8 links.wait_s: expected",
        ):
            with self.subTest(words):
                self.assertIn(words, found)

    def test_fault_names_its_line(self) -> None:
        (found,) = self.list_findings(
            '[place]\nname = "forbidden"\n[links]\npeers = ["10.0.0.1:1"]\n'
        )
        self.assertTrue(found.startswith("f:2 place.name"), found)
        (found,) = self.list_findings('[place]\nname = "a"\n[links]\npeers = []\n')
        self.assertTrue(found.startswith("f:4 links.peers"), found)

    def test_section_that_is_not_a_table(self) -> None:
        found = self.list_findings('place = 1\n[links]\npeers = ["10.0.0.1:1"]\n')
        self.assertEqual(len(found), 1, found)

    def test_text_that_is_not_toml(self) -> None:
        (found,) = self.list_findings("[place\n")
        self.assertIn("is not TOML", found)

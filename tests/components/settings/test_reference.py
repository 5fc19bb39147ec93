"""Tests that the reference pages match the settings models."""

import unittest

from script.settings_reference import FOLDER, PAGES, TARGET, render_reference


class ReferenceTest(unittest.TestCase):
    def test_page_is_up_to_date(self) -> None:
        self.assertEqual(
            TARGET.read_text(encoding="utf-8"),
            render_reference(),
            "run script/settings_reference and commit the page",
        )

    def test_every_page_matches_its_models(self) -> None:
        for name, (settings, introduction) in PAGES.items():
            page = (FOLDER / name).read_text(encoding="utf-8")
            self.assertEqual(page, render_reference(settings, introduction), name)

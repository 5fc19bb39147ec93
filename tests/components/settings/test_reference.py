"""The page of the settings is what the models say."""

import unittest

from script.settings_reference import TARGET, write_reference


class ReferenceTest(unittest.TestCase):
    def test_page_is_up_to_date(self) -> None:
        self.assertEqual(
            TARGET.read_text(encoding="utf-8"),
            write_reference(),
            "run script/settings_reference and commit the page",
        )

"""Reading of numbers that other parties write."""

import re

MAX_DIGITS = 18
_DECIMAL = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}(?:\.[0-9]{{1,{MAX_DIGITS}}})?")


def read_count(text: str) -> int | None:
    """Return the whole number that ASCII digits state, ``None`` for any other text.

    ``str.isdigit`` also accepts digits that ``int`` rejects, such as a superscript two, and
    ``int`` raises for very long numbers.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    return int(text)


def read_decimal(text: str) -> float | None:
    """Return the number that ASCII digits with an optional fraction state, else ``None``.

    ``float`` also accepts blanks, signs, underscores, exponents and other digits.
    """
    return float(text) if _DECIMAL.fullmatch(text) else None

"""Reading of numbers that other parties write."""

MAX_DIGITS = 18


def read_count(text: str) -> int | None:
    """Return the whole number that ASCII digits state, ``None`` for any other text.

    ``str.isdigit`` also accepts digits that ``int`` rejects, such as a superscript two, and
    ``int`` raises for very long numbers.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    return int(text)

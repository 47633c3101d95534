"""Whole numbers in texts from outside, such as headers and addresses."""

MAX_DIGITS = 15
"""Most digits of a number; Python refuses to convert more than 4,300."""


def parse_whole(text: str) -> int | None:
    """Return the whole number that ``text`` holds, ``None`` if it has none.

    Signs, spaces, digits of other scripts and more than ``MAX_DIGITS`` digits
    are no number.
    """
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_DIGITS else None


def is_decimal(text: str) -> bool:
    """Tell whether ``text`` is a number with or without a decimal point.

    Signs, exponents and more than ``MAX_DIGITS`` digits are none.
    """
    return parse_whole(text.strip().replace('.', '', 1)) is not None


def is_whole_within(text: str, low: int, high: int) -> bool:
    """Tell whether ``text`` holds a whole number from ``low`` to ``high``."""
    number = parse_whole(text)
    return number is not None and low <= number <= high

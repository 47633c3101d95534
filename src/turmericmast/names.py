"""Names and ids from outside."""

MAX_NAME_LENGTH = 256
"""Characters in a name or an id."""


def is_name(text: str) -> bool:
    """Tell whether a text is short, printable and not empty."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()


def is_token(text: str) -> bool:
    """Tell whether a name can be sent in a header: ASCII without spaces."""
    return is_name(text) and text.isascii() and ' ' not in text

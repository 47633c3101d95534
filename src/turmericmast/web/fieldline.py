"""Lines that hold a field, in a head or behind the last chunk."""

import re

TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
"""Pattern of a token (RFC 9110, 5.6.2)."""
TEXT = r'[\t\x20-\x7e\x80-\xff]*'
"""Pattern of the octets that may stand in the value of a field."""
BLANKS = ' \t'
"""Optional white space (RFC 9110, 5.6.3)."""
_FIELD_LINE = re.compile(f'({TOKEN}):({TEXT})')


def read_field(line: str) -> tuple[str, str] | None:
    """Return name and value of a field (RFC 9112, 5), decoded as Latin-1.

    Return ``None`` if the line, without its end, is no field. Continuations of
    a line aren't either.
    """
    match = _FIELD_LINE.fullmatch(line)
    if match is None:
        return None
    return match[1], match[2].strip(BLANKS)

"""Status lines within a body."""

import re
from typing import final

PROTOCOL = b'HTTP/1.'
"""The protocol that targets speak, up to the minor version."""
STATUS_LINE = re.compile(rb'HTTP/1\.\d \d{3}')
BEGINNING = re.compile(rb'H(T(T(P(/(1(\.(\d( \d{0,2})?)?)?)?)?)?)?)?\Z')
"""What is left of a status line at the end of a body, 11 bytes at most."""
BEGINNING_BYTES = 11


@final
class StatusLines:
    """Looks for the status line of another response in a body.

    The body comes in pieces, and the status line may stand across them.
    """

    def __init__(self) -> None:
        """Start before the first piece."""
        self._is_found = False
        self._end = b''
        """The last bytes of the pieces so far."""

    def add(self, piece: bytes) -> None:
        """Go on behind a piece."""
        self._is_found = self._is_found or self._is_within(piece)
        self._end = self._end_with(piece)

    def is_possible(self, piece: bytes = b'') -> bool:
        """Tell whether a body that ends with ``piece`` may have one.

        It may end within its first characters.
        """
        if self._is_found or self._is_within(piece):
            return True
        return BEGINNING.search(self._end_with(piece)) is not None

    def _is_within(self, piece: bytes) -> bool:
        return _has_status_line(piece) or (
            _has_status_line(self._end + piece[:BEGINNING_BYTES])
        )

    def _end_with(self, piece: bytes) -> bytes:
        return (self._end + piece[-BEGINNING_BYTES:])[-BEGINNING_BYTES:]


def _has_status_line(octets: bytes) -> bool:
    # Few bodies have the protocol, which is found faster than a pattern.
    return PROTOCOL in octets and STATUS_LINE.search(octets) is not None

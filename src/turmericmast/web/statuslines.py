"""Status lines and heads of other responses within a body."""

import re
from collections.abc import Iterator
from typing import final

PROTOCOL = b'HTTP/1.'
"""The protocol that targets speak, up to the minor version."""
STATUS_LINE = re.compile(rb'HTTP/1\.\d \d{3}')
BEGINNING = re.compile(rb'H(T(T(P(/(1(\.(\d( \d{0,2})?)?)?)?)?)?)?)?\Z')
"""What is left of a status line at the end of a body, 11 bytes at most."""
BEGINNING_BYTES = 11
MAX_HEAD_BYTES = 8192
"""Bytes after a status line in which the id of the request is looked for."""
HEAD_END = b'\r\n\r\n'


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


@final
class RepeatedHeads:
    """Looks in a body for the head of a second response to its request.

    Such a head has a status line and the id of the request. Other responses
    may be quoted.
    """

    def __init__(self, request_id: str) -> None:
        """Start before the first piece; an empty id is never found."""
        self._id = request_id.encode('latin-1', 'replace')
        self._pending = b''
        """The bytes so far from which such a head may begin."""

    def are_found(self, piece: bytes) -> bool:
        """Tell whether the body has one if it goes on with ``piece``."""
        return any(map(self._bears_id, self._heads(piece)))

    def add(self, piece: bytes) -> None:
        """Go on behind a piece."""
        self._pending = list(self._heads(piece))[-1]

    def _bears_id(self, head: bytes) -> bool:
        if self._id not in head or not STATUS_LINE.match(head):
            return False
        return any(
            line.partition(b':')[-1].strip() == self._id
            for line in head.splitlines()
        )

    def _heads(self, piece: bytes) -> Iterator[bytes]:
        """Yield what may be heads; the last one may go on behind ``piece``."""
        octets = self._pending + piece
        found = self._id and STATUS_LINE.search(octets)
        while found:
            start = found.start()
            end = octets.find(HEAD_END, start, start + MAX_HEAD_BYTES)
            if end < 0 and len(octets) - start < MAX_HEAD_BYTES:
                yield octets[start:]
                return
            yield octets[start : end if end >= 0 else start + MAX_HEAD_BYTES]
            found = STATUS_LINE.search(octets, found.end())
        yield octets[-BEGINNING_BYTES:]


def _has_status_line(octets: bytes) -> bool:
    # Few bodies have the protocol, which is found faster than a pattern.
    return PROTOCOL in octets and STATUS_LINE.search(octets) is not None

"""A body in chunks, read by the grammar of RFC 9112, 7.1."""

import copy
import enum
import re
import string
from typing import Self, final

from turmericmast.web.bodyframing import BodyFraming
from turmericmast.web.fieldline import TOKEN, read_field
from turmericmast.web.malformed import MalformedResponseError, quoted
from turmericmast.web.rejection import Rejection
from turmericmast.web.responsehead import MAX_LENGTH
from turmericmast.web.responselimits import (
    MAX_FRAMING_BYTES,
    HeadSize,
    OversizedError,
    OversizedPart,
)

LINE_END = b'\r\n'
_QUOTED_TEXT = r'"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*+"'
# Possessive, since each line is matched in time that grows with its length.
_EXTENSION = (
    rf'[ \t]*+;[ \t]*+(?>{TOKEN})'
    rf'(?:[ \t]*+=[ \t]*+(?>{TOKEN}|{_QUOTED_TEXT}))?+'
)
_SIZE_LINE = re.compile(f'([0-9A-Fa-f]++)(?:{_EXTENSION})*+'.encode('latin-1'))
_PLAIN_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,8})\r\n')
_SIZE_DIGITS = frozenset(string.hexdigits.encode())
_HEXADECIMAL = 16
MAX_SIZE_DIGITS = 16
"""Hexadecimal digits of ``MAX_LENGTH``."""


@final
class _Place(enum.Enum):
    """What comes next in a body."""

    size = 'size'
    octets = 'octets'
    line_end = 'line_end'
    """The line end behind the octets of a chunk."""
    trailer = 'trailer'
    end = 'end'


@final
class ChunkedBody(BodyFraming):
    """The body comes in chunks, followed by trailers.

    Its end is the empty line behind the last chunk. What comes behind it is no
    part of the response.
    """

    def __init__(self, head_size: HeadSize) -> None:
        """Start before the first chunk; trailers count to ``head_size``."""
        super().__init__()
        self._place = _Place.size
        self._left = 0
        """Octets that the chunk still has."""
        self._line = b''
        """The beginning of a line whose end has not come yet."""
        self._trailers = head_size.fork()

    def decode(self, octets: bytes) -> bytes:
        """Return the octets of the chunks, or of their parts."""
        self.check_first(octets)
        octets = self._line + octets
        self._line = b''
        pieces: list[bytes] = []
        position = 0
        while position < len(octets) and not self.is_complete:
            position = self._advance(octets, position, pieces)
        self.parts = len(pieces)
        self.has_excess |= self.is_complete and position < len(octets)
        return b''.join(pieces)

    def fork(self) -> Self:
        """Return a copy."""
        return copy.copy(self)

    @property
    def is_complete(self) -> bool:
        """Tell whether the empty line behind the last chunk has come."""
        return self._place is _Place.end

    def _advance(
        self, octets: bytes, position: int, pieces: list[bytes]
    ) -> int:
        """Read on from a position; return the one behind what was read."""
        if self._place is _Place.octets:
            pieces.append(octets[position : position + self._left])
            self._left -= len(pieces[-1])
            if not self._left:
                self._place = _Place.line_end
            return position + len(pieces[-1])
        if self._place is _Place.size:
            end = _read_whole_chunks(octets, position, pieces)
            if end > position:
                return end
        end = octets.find(b'\n', position) + 1
        if not end:
            self._keep_line(octets[position:])
            return len(octets)
        self._read_line(octets[position:end])
        return end

    def _keep_line(self, line: bytes) -> None:
        """Keep the beginning of a line that may still be sound."""
        if self._place is _Place.size and line[0] not in _SIZE_DIGITS:
            raise _malformed_chunk(line)
        if self._place is _Place.line_end and line != LINE_END[:1]:
            raise _malformed_chunk(line)
        if len(line) > MAX_FRAMING_BYTES:
            raise OversizedError(
                OversizedPart.trailers
                if self._place is _Place.trailer
                else OversizedPart.framing
            )
        self._line = line

    def _read_line(self, line: bytes) -> None:
        if self._place is _Place.size:
            self._left = _read_size(line)
            self._place = _Place.octets if self._left else _Place.trailer
        elif self._place is _Place.trailer:
            self._read_trailer(line)
        elif line == LINE_END:
            self._place = _Place.size
        else:
            raise _malformed_chunk(line)

    def _read_trailer(self, line: bytes) -> None:
        self._trailers = self._trailers.fork()
        if not self._trailers.add(line):
            raise OversizedError(OversizedPart.trailers)
        text = line.decode('latin-1').removesuffix('\n').removesuffix('\r')
        if not text:
            self._place = _Place.end
        elif read_field(text) is None:
            raise MalformedResponseError(
                Rejection.invalid_trailer, f'{quoted(text)} is no trailer'
            )


def _read_whole_chunks(
    octets: bytes, position: int, pieces: list[bytes]
) -> int:
    """Add the chunks that are whole and have no extension; return their end.

    This is the fast path: a body may consist of very many short chunks.
    """
    while match := _PLAIN_SIZE_LINE.match(octets, position):
        start = match.end()
        end = start + int(match[1], _HEXADECIMAL)
        if start == end or not octets.startswith(LINE_END, end):
            break
        pieces.append(octets[start:end])
        position = end + len(LINE_END)
    return position


def _read_size(line: bytes) -> int:
    """Return the size in a line, with or without extensions."""
    match = _SIZE_LINE.fullmatch(line.removesuffix(LINE_END))
    if match is None or not line.endswith(LINE_END):
        raise _malformed_chunk(line)
    digits = match[1].lstrip(b'0')
    if len(digits) > MAX_SIZE_DIGITS:
        raise _malformed_chunk(line)
    size = int(digits or b'0', _HEXADECIMAL)
    if size > MAX_LENGTH:
        raise _malformed_chunk(line)
    return size


def _malformed_chunk(line: bytes) -> MalformedResponseError:
    text = quoted(line.decode('latin-1'))
    return MalformedResponseError(
        Rejection.invalid_chunk, f'{text} frames no chunk'
    )

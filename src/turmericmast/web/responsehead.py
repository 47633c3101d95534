"""The head of a response, and which part of it is certainly of one response.

A peer may cut a response within its head and go on with the next one in the
same line. Read as one head, it has the status of the first response and the
headers of the second.
"""

import dataclasses
import enum
import re
from collections.abc import Sequence
from http import HTTPStatus
from typing import final

from tornado.httputil import HTTPHeaders

from turmericmast.web.fieldline import BLANKS, TEXT, read_field
from turmericmast.web.malformed import MalformedResponseError, quoted
from turmericmast.web.rejection import Rejection

MAX_LENGTH = 9_223_372_036_854_775_807
"""Longest body in octets; curl counts in 64 bits with a sign."""
MAX_LENGTH_DIGITS = 19
"""Decimal digits of ``MAX_LENGTH``."""
NO_BODY_STATUSES = frozenset((204, 304))
"""Final statuses whose responses have no body, whatever their headers say."""
_START_LINE = re.compile(rf'HTTP/1\.([0-9]) ([0-9]{{3}}) ({TEXT})')
_DIGITS = re.compile('[0-9]+')
_PROTOCOL = 'http/'
_STATUS_LINE = re.compile(
    r'http/\d+(?:\.\d+)?[ \t]+\d{3}(?![^ \t])', re.IGNORECASE
)
_STATUS_CLASSES = range(1, 6)
"""First digits of the statuses that a response may have (RFC 9110, 15)."""
_LENGTH_HEADERS = ('Content-Length', 'Transfer-Encoding')


@final
class BodyEnd(enum.Enum):
    """What ends the body of a response (RFC 9112, 6.3)."""

    length = 'length'
    """The number of octets that the head announces."""
    last_chunk = 'last_chunk'
    connection = 'connection'
    """The end of the connection."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PossibleJoin:
    """Headers on both sides of a status line that stands within a line."""

    certain: HTTPHeaders
    """Headers of the lines before; they belong to the status."""
    doubtful: HTTPHeaders
    """Other headers; they may belong to another response."""

    @property
    def has_doubtful_length(self) -> bool:
        """Tell whether another response may frame the body."""
        return any(name in self.doubtful for name in _LENGTH_HEADERS)


@final
@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status code, reason phrase and headers of a response."""

    status: int
    reason: str
    headers: HTTPHeaders
    join: PossibleJoin | None = None
    """Where another head may begin within this one.

    A header that quotes a status line looks the same, so what proves that the
    response is the expected one must come before."""

    @property
    def certain(self) -> HTTPHeaders:
        """Return the headers that certainly belong to the status."""
        return self.join.certain if self.join else self.headers

    @property
    def body_end(self) -> BodyEnd:
        """Return what ends the body if there is one; chunks override a length.

        The status and the method of the request tell whether there is one.
        """
        if 'Transfer-Encoding' in self.headers:
            return BodyEnd.last_chunk
        if 'Content-Length' in self.headers:
            return BodyEnd.length
        return BodyEnd.connection

    @property
    def is_interim(self) -> bool:
        """Tell whether another head follows."""
        return self.status < HTTPStatus.OK

    @property
    def is_success(self) -> bool:
        """Tell whether the status is 2xx."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


def read_head(lines: Sequence[str], *, is_folded: bool = False) -> ResponseHead:
    """Return the head that consists of ``lines``, without line ends.

    A head that ``is_folded`` is refused: a folded line can't be told from one
    whose beginning was spoilt, which may be that of the length. What frames the
    body is left in one form: ``Content-Length`` as one number, or
    ``Transfer-Encoding`` with the coding ``chunked``.

    Raises:
        MalformedResponseError: if a line breaks the grammar, or if it is not
            certain where the body ends.

    """
    minor_version, status, reason = _read_start_line(lines[0])
    if is_folded:
        raise MalformedResponseError(
            Rejection.folded_field, 'a line is folded', status
        )
    try:
        headers = _read_framed_headers(lines[1:], has_codings=minor_version > 0)
    except MalformedResponseError as error:
        error.status = status
        raise
    return ResponseHead(status, reason, headers, _find_join(lines))


def _read_framed_headers(
    lines: Sequence[str], *, has_codings: bool
) -> HTTPHeaders:
    headers = _read_headers(lines)
    has_chunks = _keep_one_coding(headers, has_codings=has_codings)
    _keep_one_length(headers, has_chunks=has_chunks)
    return headers


def _read_start_line(line: str) -> tuple[int, int, str]:
    """Return minor version, status and reason."""
    match = _START_LINE.fullmatch(line)
    if match is None:
        raise MalformedResponseError(
            Rejection.invalid_status, f'{quoted(line)} is no status line'
        )
    status = int(match[2])
    # No request asks for another protocol, so none can be switched to.
    is_switch = status == HTTPStatus.SWITCHING_PROTOCOLS
    if is_switch or status // 100 not in _STATUS_CLASSES:
        raise MalformedResponseError(
            Rejection.invalid_status, 'no response has the status', status
        )
    return int(match[1]), status, match[3]


def _read_headers(lines: Sequence[str]) -> HTTPHeaders:
    headers = HTTPHeaders()
    for line in lines:
        field = read_field(line)
        if field is None:
            raise _malformed_field(line, lines)
        headers.add(*field)
    return headers


def _malformed_field(line: str, lines: Sequence[str]) -> MalformedResponseError:
    for other in lines:
        if other.startswith(tuple(BLANKS)):
            return MalformedResponseError(
                Rejection.folded_field, f'{quoted(other)} is folded'
            )
    return MalformedResponseError(
        Rejection.invalid_field, f'{quoted(line)} is no field'
    )


def _find_join(lines: Sequence[str]) -> PossibleJoin | None:
    # Most heads name the protocol once, at their begin.
    if '\n'.join(lines).lower().find(_PROTOCOL, 1) < 0:
        return None
    for number, line in enumerate(lines):
        # The first line begins with the status line of the head itself.
        if _STATUS_LINE.search(line, int(number == 0)):
            return PossibleJoin(
                _read_headers(lines[1:number]),
                _read_headers(lines[max(number, 1) :]),
            )
    return None


def _keep_one_coding(headers: HTTPHeaders, *, has_codings: bool) -> bool:
    """Tell whether the body comes in chunks, the only coding that is read.

    HTTP/1.0 has no codings, so that its recipients may end the body elsewhere
    (RFC 9112, 6.1).
    """
    text = headers.get('Transfer-Encoding')
    if text is None:
        return False
    codings = [coding.strip(BLANKS).lower() for coding in text.split(',')]
    # A list may have empty elements (RFC 9110, 5.6.1).
    if list(filter(None, codings)) != ['chunked'] or not has_codings:
        raise MalformedResponseError(
            Rejection.invalid_coding, f'Transfer-Encoding is {quoted(text)}'
        )
    headers['Transfer-Encoding'] = 'chunked'
    return True


def _keep_one_length(headers: HTTPHeaders, *, has_chunks: bool) -> None:
    """Leave the length that frames the body; chunks override any length."""
    text = headers.pop('Content-Length', None)
    if text is None:
        return
    lengths = {_read_length(part.strip(BLANKS)) for part in text.split(',')}
    if len(lengths) > 1 or None in lengths:
        raise MalformedResponseError(
            Rejection.invalid_length, f'Content-Length is {quoted(text)}'
        )
    if not has_chunks:
        headers['Content-Length'] = str(lengths.pop())


def _read_length(text: str) -> int | None:
    if not _DIGITS.fullmatch(text):
        return None
    digits = text.lstrip('0')
    if len(digits) > MAX_LENGTH_DIGITS:
        return None
    length = int(digits or '0')
    return length if length <= MAX_LENGTH else None

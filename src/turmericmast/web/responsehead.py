"""The head of a response, and which part of it is certainly of one response.

A peer may cut a response within its head and go on with the next one in the
same line. Read as one head, it has the status of the first response and the
headers of the second.
"""

import dataclasses
import re
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import final

from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    ResponseStartLine,
    parse_response_start_line,
)

_PROTOCOL = 'http/'
_STATUS_LINE = re.compile(
    r'http/\d+(?:\.\d+)?[ \t]+\d{3}(?![^ \t])', re.IGNORECASE
)
_STATUS_CLASSES = range(1, 6)
"""First digits of the statuses that a response may have (RFC 9110, 15)."""
_LENGTH_HEADERS = ('Content-Length', 'Transfer-Encoding')


@final
class InvalidStatusError(HTTPInputError):
    """A status line that is malformed, or whose status no response has."""

    def __init__(self, status: int = 0) -> None:
        """Note the ``status``, 0 if it cannot be read."""
        super().__init__(f'the status {status} is not that of a response')
        self.status = status


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
    def is_interim(self) -> bool:
        """Tell whether another head follows."""
        return self.status < HTTPStatus.OK

    @property
    def is_success(self) -> bool:
        """Tell whether the status is 2xx."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


def read_head(lines: Sequence[str]) -> ResponseHead:
    """Return the head that consists of ``lines``, without line ends.

    Raises:
        InvalidStatusError: if the first line is no status line.
        HTTPInputError: if a line is malformed, or if lengths differ.

    """
    start = _read_status_line(lines[0])
    headers = _read_headers(lines[1:])
    join = _find_join(lines)
    _keep_one_length(headers)
    return ResponseHead(start.code, start.reason, headers, join)


def _read_status_line(line: str) -> ResponseStartLine:
    try:
        start = parse_response_start_line(line)
    except HTTPInputError as error:
        raise InvalidStatusError from error
    # No request asks for another protocol, so none can be switched to.
    is_switch = start.code == HTTPStatus.SWITCHING_PROTOCOLS
    if is_switch or start.code // 100 not in _STATUS_CLASSES:
        raise InvalidStatusError(start.code)
    return start


def _read_headers(lines: Iterable[str]) -> HTTPHeaders:
    headers = HTTPHeaders()
    for line in lines:
        headers.parse_line(line)
    return headers


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


def _keep_one_length(headers: HTTPHeaders) -> None:
    """Leave the length that frames the body; chunks override any length."""
    length = headers.pop('Content-Length', None)
    if length is None or 'Transfer-Encoding' in headers:
        return
    first, *others = map(str.strip, length.split(','))
    if any(other != first for other in others):
        raise HTTPInputError('the response has several lengths')
    headers['Content-Length'] = first

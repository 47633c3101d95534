"""Parse the requests of callers and select the headers to pass on."""

import dataclasses
import secrets
import urllib.parse
from collections.abc import Iterable, Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING, final

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders, RequestStartLine

from turmericmast.balance.pause import PauseRequest
from turmericmast.call.call import MAX_DEPTH, CallRequest, Ran
from turmericmast.ids import (
    CallId,
    RequestKey,
    Seconds,
    ServiceId,
    TenantId,
)
from turmericmast.numerals import is_decimal, is_whole_within, parse_whole
from turmericmast.web.problem import (
    RAN_HEADER,
    REACHED_HEADER,
    REFUSAL_HEADER,
    Problem,
)
from turmericmast.web.triedheader import TRIED_HEADER

if TYPE_CHECKING:
    from turmericmast.fleet.values import Values

TENANT_HEADER = 'Turmericmast-Tenant'
"""Id of the client account that the call belongs to."""
TIMEOUT_HEADER = 'Turmericmast-Timeout-Ms'
"""Milliseconds left until the deadline."""
HOPS_HEADER = 'Turmericmast-Hops'
"""Times that the call was forwarded between entries."""
RETRIED_HEADER = 'Turmericmast-Retried'
"""Present if a level nearer to the caller has already retried the call."""
DEPTH_HEADER = 'Turmericmast-Depth'
"""Number of calls that the call is nested in."""
CLOCK_HEADER = 'Turmericmast-Clock'
"""Packed hybrid clock timestamp of the sender."""
CALL_HEADER = 'Turmericmast-Call'
"""Id of an attempt, which targets send back with every response."""
PAUSE_HEADER = 'Retry-After'
"""Seconds for which a target that rejects a request wants nothing more."""
FORWARD_HEADER = 'Turmericmast-Forward'
"""Id of a request that one edge forwards to another."""
ATTEMPTS_HEADER = 'Turmericmast-Attempts'
"""Targets to which a forwarded request may still be sent."""
SERVICE_HEADER = 'Turmericmast-Service'
"""Service that was picked for a forwarded request, of those of its route."""
KEY_HEADER = 'Idempotency-Key'
"""Key by which the ledger recognises resends of a request."""

METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'),
)
"""HTTP methods that a call may have."""
MAX_KEY_LENGTH = 255
"""Characters of an idempotency key."""

_STRIPPED_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        TIMEOUT_HEADER.lower(),
        HOPS_HEADER.lower(),
        RETRIED_HEADER.lower(),
        DEPTH_HEADER.lower(),
        CLOCK_HEADER.lower(),
        CALL_HEADER.lower(),
        FORWARD_HEADER.lower(),
        ATTEMPTS_HEADER.lower(),
        REACHED_HEADER.lower(),
        REFUSAL_HEADER.lower(),
        SERVICE_HEADER.lower(),
        TRIED_HEADER.lower(),
    ),
)
"""Lower-case names of headers that are not passed on.

They apply to one connection, or are set anew for each hop.
"""


@final
@dataclasses.dataclass(frozen=True)
class CallPath:
    """The parts of a call's path ``/SERVICE/ROUTE``.

    ``route`` begins with a slash and includes the query.
    """

    service: ServiceId
    route: str


def parse_path(path: str) -> Result[CallPath, Problem]:
    """Return the service and the route in the path of a request."""
    if not path.startswith('/') or not path.isascii() or '#' in path:
        return Failure(bad_request('path', 'write /SERVICE/PATH in ASCII'))
    service, slash, route = path[1:].partition('/')
    name = urllib.parse.unquote(service.partition('?')[0])
    if not name:
        return Failure(bad_request('path', 'write /SERVICE/PATH'))
    if not slash:
        _, mark, query = service.partition('?')
        return Success(CallPath(ServiceId(name), f'/{mark}{query}'))
    return Success(CallPath(ServiceId(name), f'/{route}'))


def parse_call(
    start: RequestStartLine,
    headers: HTTPHeaders,
    call_path: CallPath,
    values: 'Values',
    now: Seconds,
) -> Result[CallRequest, Problem]:
    """Return the call with its deadline, or the problem with its headers.

    ``now`` is the time of arrival in seconds of the monotonic clock.
    """
    fault = next(_find_header_faults(start, headers), None)
    if fault:
        return Failure(bad_request(*fault))
    wanted_ms = int(headers.get(TIMEOUT_HEADER, values.timeout_ms))
    timeout_ms = min(wanted_ms, values.timeout_ms)
    return Success(
        CallRequest(
            call=CallId(secrets.token_hex(8)),
            service=call_path.service,
            method=start.method,
            path=call_path.route,
            tenant=TenantId(headers.get(TENANT_HEADER, '')),
            key=RequestKey(headers.get(KEY_HEADER, '')),
            deadline=Seconds(now + timeout_ms / 1000),
            hops=int(headers.get(HOPS_HEADER, '0')),
            retried=RETRIED_HEADER in headers,
            depth=int(headers.get(DEPTH_HEADER, '0')),
            home_regions=values.home_regions,
        ),
    )


def entry_request_headers(
    headers: HTTPHeaders,
    request: CallRequest,
    now: Seconds,
    extra: Iterable[tuple[str, str]],
) -> tuple[bytes, ...]:
    """Return the header lines that an entry sends, in the format of curl.

    They go to a target or to another entry, with the remaining time.
    """
    time_left_ms = max(int((request.deadline - now) * 1000), 1)
    added = (
        (TIMEOUT_HEADER, str(time_left_ms)),
        (DEPTH_HEADER, str(request.depth + 1)),
    )
    return _curl_headers(headers, _STRIPPED_HEADERS, (*extra, *added))


def edge_request_headers(
    headers: HTTPHeaders,
    replaced: frozenset[str],
    extra: Iterable[tuple[str, str]],
) -> tuple[bytes, ...]:
    """Return the header lines that an edge sends, in the format of curl.

    They include ``Host`` but no header named by ``Connection``. ``replaced``
    has the lower-case names that are replaced by ``extra``.
    """
    connection_options = {
        name.strip().lower()
        for name in headers.get('Connection', '').split(',')
    }
    dropped = ((_STRIPPED_HEADERS | connection_options) - {'host'}) | replaced
    return _curl_headers(headers, dropped, extra)


def _curl_headers(
    headers: HTTPHeaders,
    dropped: frozenset[str],
    extra: Iterable[tuple[str, str]],
) -> tuple[bytes, ...]:
    passed = (
        (name, text)
        for name, text in headers.get_all()
        if name.lower() not in dropped
    )
    # An empty header keeps curl from adding its own.
    suppressed = (
        name
        for name in ('Content-Type', 'Accept', 'User-Agent', 'Expect')
        if name == 'Expect' or name not in headers
    )
    return (
        *(_curl_header(name, text) for name, text in (*passed, *extra)),
        *(f'{name}:'.encode() for name in suppressed),
    )


def read_pause(headers: HTTPHeaders) -> PauseRequest | None:
    """Return the pause for which a rejection asks, ``None`` without one."""
    texts = headers.get_list(PAUSE_HEADER)
    if not texts:
        return None
    is_readable = len(texts) == 1 and is_decimal(texts[0])
    return PauseRequest(float(texts[0]) if is_readable else None)


def response_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a target's response that go to the caller."""
    passed = HTTPHeaders()
    for name, text in headers.get_all():
        if name.lower() not in _STRIPPED_HEADERS:
            passed.add(name, text)
    if RAN_HEADER not in passed:
        passed[RAN_HEADER] = Ran.yes.value
    return passed


def bad_request(field: str, remedy: str) -> Problem:
    """Return the problem for a request with a malformed ``field``.

    ``remedy`` tells the caller what to send instead.
    """
    return Problem(
        HTTPStatus.BAD_REQUEST,
        'Bad request',
        f'{field}: {remedy}',
        'read request',
        Ran.no,
    )


def _curl_header(name: str, text: str) -> bytes:
    # curl sends a header with empty content if its name ends with a
    # semicolon, and removes one that ends with a colon.
    line = f'{name}: {text}' if text else f'{name};'
    return line.encode('latin-1')


def _find_header_faults(
    start: RequestStartLine,
    headers: HTTPHeaders,
) -> Iterator[tuple[str, str]]:
    """Yield the name of each malformed part, and what to send instead."""
    if start.method not in METHODS:
        yield ('method', f'use one of {", ".join(sorted(METHODS))}')
    for name, low, high in (
        (TIMEOUT_HEADER, 1, 86_400_000),
        (HOPS_HEADER, 0, 8),
        (DEPTH_HEADER, 0, MAX_DEPTH),
    ):
        text = headers.get(name, str(low))
        if not is_whole_within(text, low, high):
            yield (name, f'write a whole number from {low} to {high}')
    key = headers.get(KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        yield (KEY_HEADER, f'write 1 to {MAX_KEY_LENGTH} characters')
    length = headers.get('Content-Length', '0')
    if parse_whole(length) is None:
        yield ('Content-Length', 'write a whole number')

"""From an HTTP request to a call, and from a call to an HTTP request."""

import dataclasses
import secrets
import urllib.parse
from collections.abc import Iterable, Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING, final

from returns.result import Failure, Result, Success
from tornado.httputil import HTTPHeaders, RequestStartLine

from turmericmast.call.call import MAX_DEPTH, CallRequest, Ran
from turmericmast.ids import (
    CallId,
    RequestKey,
    Seconds,
    ServiceId,
    TenantId,
)
from turmericmast.web.problem import RAN_HEADER, Problem

if TYPE_CHECKING:
    from turmericmast.fleet.values import Values

TENANT_HEADER = 'Turmericmast-Tenant'
TIMEOUT_HEADER = 'Turmericmast-Timeout-Ms'
HOPS_HEADER = 'Turmericmast-Hops'
RETRIED_HEADER = 'Turmericmast-Retried'
DEPTH_HEADER = 'Turmericmast-Depth'
CLOCK_HEADER = 'Turmericmast-Clock'
KEY_HEADER = 'Idempotency-Key'

METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'),
)
MAX_KEY_LENGTH = 255
MAX_DIGITS = 12

_NOT_PASSED = frozenset(
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
    ),
)


@final
@dataclasses.dataclass(frozen=True)
class CallPath:
    """The parts of a call's path: ``/SERVICE/route``."""

    service: ServiceId
    route: str


def parse_path(path: str) -> Result[CallPath, Problem]:
    """Return the service and the route that a path names."""
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
    address: CallPath,
    values: 'Values',
    now: Seconds,
) -> Result[CallRequest, Problem]:
    """Return the call, with its deadline and limits."""
    fault = next(_header_faults(start, headers), None)
    if fault:
        return Failure(bad_request(*fault))
    wanted_ms = int(headers.get(TIMEOUT_HEADER, values.timeout_ms))
    timeout_ms = min(wanted_ms, values.timeout_ms)
    return Success(
        CallRequest(
            call=CallId(secrets.token_hex(8)),
            service=address.service,
            method=start.method,
            path=address.route,
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
    """Return the headers for a target or another entry, as curl wants them."""
    left_ms = max(int((request.deadline - now) * 1000), 1)
    own = (
        (TIMEOUT_HEADER, str(left_ms)),
        (DEPTH_HEADER, str(request.depth + 1)),
    )
    return _curl_headers(headers, _NOT_PASSED, (*extra, *own))


def edge_request_headers(
    headers: HTTPHeaders,
    set_here: frozenset[str],
    extra: Iterable[tuple[str, str]],
) -> tuple[bytes, ...]:
    """Return the headers for a target that gets those of the caller.

    ``set_here`` are names in lower case that ``extra`` sets anew.
    """
    of_connection = {
        name.strip().lower()
        for name in headers.get('Connection', '').split(',')
    }
    dropped = ((_NOT_PASSED | of_connection) - {'host'}) | set_here
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
    # What curl would add by itself is left out by an empty header.
    unwanted = (
        name
        for name in ('Content-Type', 'Accept', 'User-Agent', 'Expect')
        if name == 'Expect' or name not in headers
    )
    return (
        *(_curl_header(name, text) for name, text in (*passed, *extra)),
        *(f'{name}:'.encode() for name in unwanted),
    )


def response_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of a target's answer that its caller gets."""
    passed = HTTPHeaders()
    for name, text in headers.get_all():
        if name.lower() not in _NOT_PASSED:
            passed.add(name, text)
    if RAN_HEADER not in passed:
        passed[RAN_HEADER] = Ran.yes.value
    return passed


def bad_request(field: str, wanted: str) -> Problem:
    """Return the problem of a request that cannot be understood."""
    return Problem(
        HTTPStatus.BAD_REQUEST,
        'Bad request',
        f'{field}: {wanted}',
        'read request',
        Ran.no,
    )


def _curl_header(name: str, text: str) -> bytes:
    # For curl, a name with a semicolon is a header without content.
    line = f'{name}: {text}' if text else f'{name};'
    return line.encode('latin-1')


def _header_faults(
    start: RequestStartLine,
    headers: HTTPHeaders,
) -> Iterator[tuple[str, str]]:
    if start.method not in METHODS:
        yield ('method', f'use one of {", ".join(sorted(METHODS))}')
    for name, low, high in (
        (TIMEOUT_HEADER, 1, 86_400_000),
        (HOPS_HEADER, 0, 8),
        (DEPTH_HEADER, 0, MAX_DEPTH),
    ):
        text = headers.get(name, str(low))
        if not text.isdecimal() or not low <= int(text[:MAX_DIGITS]) <= high:
            yield (name, f'write a whole number from {low} to {high}')
    key = headers.get(KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        yield (KEY_HEADER, f'write 1 to {MAX_KEY_LENGTH} characters')
    length = headers.get('Content-Length', '0')
    if not length.isdecimal():
        yield ('Content-Length', 'write a whole number')

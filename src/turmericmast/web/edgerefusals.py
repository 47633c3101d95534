"""The problems that an edge answers with."""

import http

from turmericmast.call.call import Call, Loss, Ran
from turmericmast.ids import Seconds
from turmericmast.units import MILLIS
from turmericmast.web.problem import Problem

UNKNOWN_ROUTES_RETURN = 0.5
"""Seconds after which a caller may ask again while there are no routes."""
LEAVING_RETURN_MS = 10
"""Milliseconds after which another instance may be asked: at once."""


def no_routes() -> Problem:
    """Return the problem of an instance that knows no routes yet."""
    return Problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'Not ready',
        'this instance has not learned the routes yet',
        'find route',
        Ran.no,
        retry_after_ms=int(UNKNOWN_ROUTES_RETURN * MILLIS),
        is_precise=True,
    )


def leaving() -> Problem:
    """Return the problem of a request that would outlast this instance."""
    return Problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'Leaving',
        'this instance is about to stop; use another one',
        'read request',
        Ran.no,
        retry_after_ms=LEAVING_RETURN_MS,
        is_precise=True,
        is_last=True,
    )


def no_route(host: str) -> Problem:
    """Return the problem of a request that no route matches."""
    return Problem(
        http.HTTPStatus.NOT_FOUND,
        'No route',
        f'no route of host {host!r} matches the path',
        'find route',
        Ran.no,
    )


def headers_too_large(limit: int) -> Problem:
    """Return the problem of headers over the limit."""
    return Problem(
        http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        'Headers too large',
        f'at most {limit} octets of headers are allowed',
        'read request',
        Ran.no,
    )


def body_too_large(limit: int) -> Problem:
    """Return the problem of a body over the limit."""
    return Problem(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'Body too large',
        f'at most {limit} octets of body are allowed',
        'read request',
        Ran.no,
    )


def no_room(service: str, returns_in: float) -> Problem:
    """Return the problem of a request that no target can serve now."""
    return Problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'No target in time',
        f'no target of {service} can serve the request now',
        'choose target',
        Ran.no,
        peer=service,
        retry_after_ms=max(int(returns_in * MILLIS), 1),
        is_precise=True,
    )


def lost(call: Call, now: Seconds, returns_in: float) -> Problem:
    """Return the problem of a request whose attempts all failed."""
    last = call.losses[-1]
    if call.ran is Ran.no:
        return no_room(call.request.service, returns_in)
    is_late = last is Loss.timed_out or now >= call.request.deadline
    return Problem(
        http.HTTPStatus.GATEWAY_TIMEOUT
        if is_late
        else http.HTTPStatus.BAD_GATEWAY,
        'No answer from a target',
        f'{last.value} after {call.attempts} attempts',
        'send to target',
        Ran.unknown,
        peer=call.request.service,
    )


def unexpected(error: Exception) -> Problem:
    """Return the problem of a fault of this program."""
    return Problem(
        http.HTTPStatus.INTERNAL_SERVER_ERROR,
        'Internal error',
        f'{type(error).__name__}; tell the operators',
        'serve request',
        Ran.unknown,
    )

"""The problems that an edge answers with."""

from http import HTTPStatus

from turmericmast.call.call import Call, Loss, Ran
from turmericmast.ids import Seconds
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.problem import Problem

NO_ROUTES_RETRY_DELAY = 0.25
"""Seconds after which a caller may ask again while there are no routes.

An edge asks all members for them several times in this time."""
LEAVING_RETRY_DELAY = 0.01
"""Seconds after which another instance may be asked: at once."""


def no_routes() -> Problem:
    """Return the problem of an instance that knows no routes yet."""
    return _unavailable(
        'Not ready',
        'this instance has not learned the routes yet',
        'find route',
        NO_ROUTES_RETRY_DELAY,
    )


def leaving() -> Problem:
    """Return the problem of a request that would outlast this instance."""
    return _unavailable(
        'Leaving',
        'this instance is about to stop; use another one',
        'read request',
        LEAVING_RETRY_DELAY,
        is_last=True,
    )


def no_target(service: str, retry_delay: float) -> Problem:
    """Return the problem of a request that no target can serve now."""
    return _unavailable(
        'No target in time',
        f'no target of {service} can serve the request now',
        'choose target',
        retry_delay,
        peer=service,
    )


def quarantined(time_left: float) -> Problem:
    """Return the problem of a request that crashes its targets."""
    return _unavailable(
        'Quarantined',
        'targets crashed while they ran this request',
        'check suspects',
        time_left,
    )


def no_route(host: str) -> Problem:
    """Return the problem of a request that no route matches."""
    return _rejected(
        HTTPStatus.NOT_FOUND,
        'No route',
        f'no route of host {host!r} matches the path',
        'find route',
    )


def headers_too_large(limit: int) -> Problem:
    """Return the problem of headers over the limit."""
    return _rejected(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        'Headers too large',
        f'at most {limit} octets of headers are allowed',
    )


def body_too_large(limit: int) -> Problem:
    """Return the problem of a body over the limit."""
    return _rejected(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'Body too large',
        f'at most {limit} octets of body are allowed',
    )


def bad_content_length(found: str) -> Problem:
    """Return the problem of a length that is no number."""
    return _rejected(
        HTTPStatus.BAD_REQUEST,
        'Bad length',
        f'Content-Length is {found!r}; send the octets of the body',
    )


def attempts_failed(call: Call, now: Seconds, retry_delay: float) -> Problem:
    """Return the problem of a request whose attempts all failed."""
    last = call.losses[-1]
    if call.ran is Ran.no:
        return no_target(call.request.service, retry_delay)
    is_late = last is Loss.timed_out or now >= call.request.deadline
    return Problem(
        HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY,
        'No answer from a target',
        f'{last.value} after {call.attempts} attempts',
        'send to target',
        Ran.unknown,
        peer=call.request.service,
    )


def internal_error(error: Exception) -> Problem:
    """Return the problem of a fault of this program."""
    return Problem(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'Internal error',
        f'{type(error).__name__}; tell the operators',
        'serve request',
        Ran.unknown,
    )


def _unavailable(
    title: str,
    detail: str,
    step: str,
    retry_delay: float,
    *,
    peer: str = '',
    is_last: bool = False,
) -> Problem:
    """Return the problem of a request that has not run and may come back."""
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        title,
        detail,
        step,
        Ran.no,
        peer=peer,
        retry_after_ms=max(int(retry_delay * MILLIS_PER_SECOND), 1),
        is_precise=True,
        is_last=is_last,
    )


def _rejected(
    status: HTTPStatus,
    title: str,
    detail: str,
    step: str = 'read request',
) -> Problem:
    """Return the problem of a request that is refused however often sent."""
    return Problem(status, title, detail, step, Ran.no)

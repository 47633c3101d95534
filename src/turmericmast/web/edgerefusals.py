"""Error responses that an edge generates itself."""

from collections.abc import Iterable
from http import HTTPStatus

from turmericmast.balance.openness import Withholding
from turmericmast.call.call import Call, Loss, Ran
from turmericmast.ids import Seconds
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.problem import Problem

NO_ROUTES_RETRY_DELAY = 0.25
"""Seconds after which a caller should retry while there are no routes.

An edge requests them from all core members several times within this time."""
LEAVING_RETRY_DELAY = 0.01
"""Seconds after which a caller should use another instance: at once."""


def no_routes() -> Problem:
    """Return the problem for an instance that has no routes yet."""
    return unavailable(
        'Not ready',
        'this instance has not received the routes yet',
        'find route',
        NO_ROUTES_RETRY_DELAY,
    )


def leaving() -> Problem:
    """Return the problem for a request that may run past the shutdown."""
    return unavailable(
        'Leaving',
        'this instance is shutting down; use another one',
        'read request',
        LEAVING_RETRY_DELAY,
        closes_connection=True,
    )


def no_target(
    service: str,
    retry_delay: float,
    withheld_by: Iterable[Withholding] = (),
) -> Problem:
    """Return the problem for a request that no target can serve in time.

    ``withheld_by`` tells why some targets want no requests.
    """
    causes = ', '.join(sorted(cause.value for cause in withheld_by))
    note = f'; some targets want no requests: {causes}' if causes else ''
    return unavailable(
        'No target in time',
        f'no target of service {service} can serve the request in time{note}',
        'choose target',
        retry_delay,
        peer=service,
    )


def link_busy(retry_delay: float) -> Problem:
    """Return the problem for an upload that cannot pass the link in time."""
    return unavailable(
        'Link busy',
        'the body cannot pass the link of this instance in time',
        'read upload',
        retry_delay,
    )


def quarantined_within_body() -> Problem:
    """Return the problem for a quarantined request that was sent in part."""
    return Problem(
        HTTPStatus.BAD_GATEWAY,
        'Quarantined',
        'the request is quarantined: targets crashed while they ran it',
        'check suspects',
        ran=Ran.unknown,
    )


def quarantined(time_left: float) -> Problem:
    """Return the problem for a request that repeatedly crashed targets."""
    return unavailable(
        'Quarantined',
        'the request is quarantined: targets crashed while they ran it',
        'check suspects',
        time_left,
    )


def no_route(host: str) -> Problem:
    """Return the problem for a request that no route matches."""
    return rejected(
        HTTPStatus.NOT_FOUND,
        'No route',
        f'no route of host {host!r} matches the path',
        'find route',
    )


def headers_too_large(limit: int) -> Problem:
    """Return the problem for headers over the limit, in octets."""
    return rejected(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        'Headers too large',
        f'at most {limit} octets of headers are allowed',
    )


def body_too_large(limit: int, ran: Ran = Ran.no) -> Problem:
    """Return the problem for a body over the limit, in octets.

    Its request may have run if the part within the limit was sent on.
    """
    return Problem(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'Body too large',
        f'at most {limit} octets of body are allowed',
        'read request',
        ran,
    )


def body_too_slow() -> Problem:
    """Return the problem for a body that is not complete in time."""
    return Problem(
        HTTPStatus.REQUEST_TIMEOUT,
        'Body too slow',
        'the body was not complete at the deadline of the request',
        'read request',
        Ran.no,
        closes_connection=True,
    )


def bad_content_length(text: str) -> Problem:
    """Return the problem for a Content-Length that is not a number."""
    return rejected(
        HTTPStatus.BAD_REQUEST,
        'Bad length',
        f'Content-Length is {text!r}; it must be a number of octets',
    )


def attempts_failed(call: Call, now: Seconds, retry_delay: float) -> Problem:
    """Return the problem for a request whose attempts all failed.

    The status is 503 if the request has not run, 504 if the deadline has
    passed, else 502.
    """
    last = call.losses[-1]
    title = 'No answer from a target'
    detail = f'{last.value} after {call.attempts} attempts'
    step = 'send to target'
    service = call.request.service
    if call.ran is Ran.no:
        return unavailable(title, detail, step, retry_delay, peer=service)
    is_late = last is Loss.timed_out or now >= call.request.deadline
    return Problem(
        HTTPStatus.GATEWAY_TIMEOUT if is_late else HTTPStatus.BAD_GATEWAY,
        title,
        detail,
        step,
        Ran.unknown,
        peer=service,
    )


def internal_error(error: Exception) -> Problem:
    """Return the problem for an unexpected exception in this program."""
    return Problem(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'Internal error',
        f'unexpected {type(error).__name__}; report it to the operators',
        'serve request',
        Ran.unknown,
    )


def unavailable(
    title: str,
    detail: str,
    step: str,
    retry_delay: float,
    *,
    peer: str = '',
    closes_connection: bool = False,
) -> Problem:
    """Return the problem for a request that has not run and may be retried.

    ``retry_delay`` is in seconds. With ``closes_connection``, the response asks
    the caller to close the connection.
    """
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        title,
        detail,
        step,
        Ran.no,
        peer=peer,
        retry_after_ms=max(int(retry_delay * MILLIS_PER_SECOND), 1),
        has_fractional_retry_after=True,
        closes_connection=closes_connection,
    )


def rejected(
    status: HTTPStatus,
    title: str,
    detail: str,
    step: str = 'read request',
) -> Problem:
    """Return the problem for a request for which a retry is useless."""
    return Problem(status, title, detail, step, Ran.no)

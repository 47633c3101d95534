"""The problems that an entry answers with."""

import http

from turmericmast.call.call import Call, CallRequest, Loss, Ran
from turmericmast.entry.entry import Entry
from turmericmast.fleet.values import Values
from turmericmast.ids import Fingerprint, Seconds
from turmericmast.web.problem import Problem

RETRY_AFTER_MS = 1000


def too_large(values: Values) -> Problem:
    """Return the problem of a body over the limit."""
    return Problem(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'Body too large',
        f'at most {values.max_body_bytes} octets are allowed; '
        'send less or ask the operators to raise max_body_bytes',
        'read request',
        Ran.no,
    )


def misdirected(addresses: tuple[str, ...]) -> Problem:
    """Return the problem of a call outside of its home regions."""
    return Problem(
        http.HTTPStatus.MISDIRECTED_REQUEST,
        'Not in a home region',
        'this request may only be served in its home regions; '
        'send it to one of the addresses',
        'check home regions',
        Ran.no,
        addresses=addresses,
    )


def no_target(entry: Entry, request: CallRequest) -> Problem:
    """Return the problem of a service without targets in reach."""
    return Problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'No target',
        f'no target of {request.service} can be reached from here; '
        'ask for addresses again',
        'route',
        Ran.no,
        peer=entry.instance,
        retry_after_ms=RETRY_AFTER_MS,
        addresses=entry.router.addresses(
            request.service,
            entry.domain,
            request.home_regions,
        ),
    )


def quarantined(entry: Entry, fingerprint: Fingerprint) -> Problem:
    """Return the problem of a request that crashes its targets."""
    return Problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'Quarantined',
        f'request {fingerprint} ended in lost targets before; change it, '
        'or have operators lift the quarantine',
        'check quarantine',
        Ran.no,
        peer=entry.instance,
    )


def lost(call: Call, loss: Loss) -> Problem:
    """Return the problem of a call whose attempts all failed."""
    ran = call.ran
    status = (
        http.HTTPStatus.GATEWAY_TIMEOUT
        if loss is Loss.timed_out
        else http.HTTPStatus.BAD_GATEWAY
    )
    is_safe = ran is Ran.no
    return Problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE if is_safe else status,
        'No answer from a target',
        f'{loss.value} after {call.attempts} attempts',
        'send to target',
        ran,
        peer=call.request.service,
        retry_after_ms=RETRY_AFTER_MS if is_safe else 0,
    )


def shed(call: Call, now: Seconds) -> Problem:
    """Return the problem of a call that found no slot in time."""
    is_late = now >= call.request.deadline
    status = (
        http.HTTPStatus.GATEWAY_TIMEOUT
        if is_late
        else http.HTTPStatus.SERVICE_UNAVAILABLE
    )
    return Problem(
        status,
        'No free target in time',
        'the request waited for a slot until there was no time left'
        if is_late
        else 'more requests are waiting than can be served in time',
        'wait for slot',
        call.ran,
        peer=call.request.service,
        retry_after_ms=RETRY_AFTER_MS,
    )


def unexpected(entry: Entry, call: Call, error: Exception) -> Problem:
    """Return the problem of a fault of our own."""
    return Problem(
        http.HTTPStatus.INTERNAL_SERVER_ERROR,
        'Internal error',
        f'{type(error).__name__}; tell the operators',
        'serve call',
        Ran.unknown if call.attempts else call.ran,
        peer=entry.instance,
    )

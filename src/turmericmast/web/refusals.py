"""Error responses that an entry generates itself."""

import http

from turmericmast.call.call import Call, CallRequest, Loss, Ran
from turmericmast.entry.entry import Entry
from turmericmast.fleet.values import Values
from turmericmast.ids import Fingerprint, Seconds
from turmericmast.web.problem import Problem

RETRY_AFTER_MS = 1000
"""Milliseconds after which a caller may send a refused call again."""
STOPPING_RETRY_AFTER_MS = 1
"""Milliseconds after which a caller should use another entry: at once."""


def body_too_large(values: Values) -> Problem:
    """Return the problem for a body over ``max_body_bytes``."""
    return Problem(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'Body too large',
        f'at most {values.max_body_bytes} octets are allowed; '
        'send less or ask the operators to raise max_body_bytes',
        'read request',
        Ran.no,
    )


def misdirected(addresses: tuple[str, ...]) -> Problem:
    """Return the problem for a call that may not be served in this region."""
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
    """Return the problem for a service without a reachable target."""
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


def stopping(entry: Entry, request: CallRequest) -> Problem:
    """Return the problem for a call to an entry that is about to end."""
    return Problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'Stopping',
        'this entry is shutting down; use another one',
        'read request',
        Ran.no,
        peer=entry.instance,
        retry_after_ms=STOPPING_RETRY_AFTER_MS,
        addresses=entry.router.addresses(
            request.service,
            entry.domain,
            request.home_regions,
        ),
        closes_connection=True,
    )


def quarantined(entry: Entry, fingerprint: Fingerprint) -> Problem:
    """Return the problem for a request suspected to crash its targets."""
    return Problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'Quarantined',
        f'targets were lost while they ran request {fingerprint}; change it, '
        'or ask the operators to lift the quarantine',
        'check quarantine',
        Ran.no,
        peer=entry.instance,
    )


def attempts_failed(call: Call, loss: Loss) -> Problem:
    """Return the problem for a call whose attempts failed, last by ``loss``."""
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


def no_free_slot(call: Call, now: Seconds) -> Problem:
    """Return the problem for a call that got no slot of a target.

    The queue refused the call, or the call left it without a slot.
    """
    is_late = now >= call.request.deadline
    status = (
        http.HTTPStatus.GATEWAY_TIMEOUT
        if is_late
        else http.HTTPStatus.SERVICE_UNAVAILABLE
    )
    return Problem(
        status,
        'No free target in time',
        'the request waited for a slot until its deadline'
        if is_late
        else 'more requests are waiting than can be served in time',
        'wait for slot',
        call.ran,
        peer=call.request.service,
        retry_after_ms=RETRY_AFTER_MS,
    )


def internal_error(entry: Entry, call: Call, error: Exception) -> Problem:
    """Return the problem for an unexpected exception in this program."""
    return Problem(
        http.HTTPStatus.INTERNAL_SERVER_ERROR,
        'Internal error',
        f'unexpected {type(error).__name__}; report it to the operators',
        'serve call',
        Ran.unknown if call.attempts else call.ran,
        peer=entry.instance,
    )

"""Error responses of an edge about client accounts and their limits."""

import dataclasses
from http import HTTPStatus

from turmericmast.ids import TenantId
from turmericmast.web.edgerefusals import (
    NO_ROUTES_RETRY_DELAY,
    rejected,
    unavailable,
)
from turmericmast.web.problem import Problem

NO_CONTACT_RETRY_DELAY = 0.2
"""Seconds after which a caller should retry where contact to the core is lost.

Another instance can serve it at once; this one asks the core every 0.1 s."""


def unknown_key() -> Problem:
    """Return the problem for a request without the key of an account."""
    return rejected(
        HTTPStatus.UNAUTHORIZED,
        'Unknown key',
        'the request needs exactly one key of a client account',
        'find account',
    )


def stale_accounts() -> Problem:
    """Return the problem for a key that may have been revoked meanwhile."""
    return unavailable(
        'Accounts out of date',
        'this instance may lack the newest accounts; use another one',
        'check key',
        NO_CONTACT_RETRY_DELAY,
    )


def unconfirmed_key() -> Problem:
    """Return the problem for a forwarded request whose key is not known here.

    The instance that forwarded it may have a newer version of the accounts.
    """
    return unavailable(
        'Unknown key',
        'this instance does not know the key of the forwarded request',
        'find account',
        NO_ROUTES_RETRY_DELAY,
    )


def over_limit(account: TenantId, retry_delay: float) -> Problem:
    """Return the problem for a request of an account over its limit."""
    return dataclasses.replace(
        unavailable(
            'Over the limit',
            f'account {account} is over its limit of requests',
            'draw token',
            retry_delay,
            peer=account,
        ),
        status=HTTPStatus.TOO_MANY_REQUESTS,
    )


def no_token(account: TenantId, cause: str, retry_delay: float) -> Problem:
    """Return the problem for a request whose account may have room.

    ``cause`` tells why that is not known.
    """
    return unavailable(
        'No token',
        f'the limit of account {account} could not be checked: {cause}',
        'draw token',
        retry_delay,
        peer=account,
    )

"""Headers between two instances, one of which forwards a request."""

import dataclasses
from typing import final

from tornado.httputil import HTTPHeaders

from turmericmast.call.call import Ran
from turmericmast.ids import CallId, Seconds, ServiceId, TargetId, TenantId
from turmericmast.numerals import parse_whole
from turmericmast.web.headerformat import (
    HeaderFormat,
    HealthMetadata,
    RequestMetadata,
    ResponseMetadata,
)
from turmericmast.web.parse import (
    ATTEMPTS_HEADER,
    FORWARD_HEADER,
    SERVICE_HEADER,
)
from turmericmast.web.problem import (
    RAN_HEADER,
    REACHED_HEADER,
    REFUSAL_HEADER,
)
from turmericmast.web.triedheader import read_tried, tried_headers

MAX_ATTEMPTS = 100
"""Largest number of attempts that is read from a header."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Forwarding:
    """What the forwarding instance tells about a request."""

    call: CallId
    """Id of the request, which an error of the receiver repeats."""
    attempts_left: int
    """Targets to which the request may still be sent."""
    service: ServiceId
    """Service that was picked, so that its share of the route holds."""
    tried: tuple[TargetId, ...] = ()
    """Targets that may have got the request, none if that is not known."""


def read_forwarding(headers: HTTPHeaders) -> Forwarding:
    """Return what the headers of a forwarded request tell.

    Malformed values count as one attempt, as an id that matches none, and as
    no target that was tried.
    """
    attempts_left = parse_whole(headers.get(ATTEMPTS_HEADER, '1')) or 1
    call = CallId(headers.get(FORWARD_HEADER, ''))
    return Forwarding(
        call,
        min(attempts_left, MAX_ATTEMPTS),
        ServiceId(headers.get(SERVICE_HEADER, '')),
        read_tried(headers, call),
    )


@final
class PeerHeaders(HeaderFormat):
    """The headers of a request that goes to another instance.

    They are those of the platform, but for what tells a target from others.
    """

    def __init__(
        self,
        platform_format: HeaderFormat,
        request_id: str,
        forwarding: Forwarding,
    ) -> None:
        """Forward the request with ``request_id``."""
        self._platform_format = platform_format
        self._request_id = request_id
        self._forwarding = forwarding

    @property
    def replaced_headers(self) -> frozenset[str]:
        """Return the names that are not forwarded as the caller sent them."""
        return self._platform_format.replaced_headers

    def read_request(self, headers: HTTPHeaders) -> RequestMetadata:
        """Return the metadata of a caller's request."""
        return self._platform_format.read_request(headers)

    def timeout_headers(
        self, time_left: Seconds
    ) -> tuple[tuple[str, str], ...]:
        """Return the header with the time left."""
        return self._platform_format.timeout_headers(time_left)

    def target_headers(
        self, target: TargetId, time_left: Seconds
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers to add to a request to a target."""
        return self._platform_format.target_headers(target, time_left)

    @property
    def account_headers(self) -> frozenset[str]:
        """Return the names of the headers about client accounts."""
        return self._platform_format.account_headers

    def name_account(self, account: TenantId) -> tuple[tuple[str, str], ...]:
        """Return the header that tells a target the account of a request."""
        return self._platform_format.name_account(account)

    def peer_headers(self, time_left: Seconds) -> tuple[tuple[str, str], ...]:
        """Return the headers to add to a request to another instance."""
        return (
            *self.timeout_headers(time_left),
            (FORWARD_HEADER, self._forwarding.call),
            (ATTEMPTS_HEADER, str(self._forwarding.attempts_left)),
            (SERVICE_HEADER, self._forwarding.service),
            *tried_headers(self._forwarding.call, self._forwarding.tried),
        )

    def read_response(
        self, status: int, headers: HTTPHeaders
    ) -> ResponseMetadata:
        """Return the metadata of a target's response, or of an error.

        An error that the other instance itself generated names the forwarded
        request, and tells whether a target has run it or only got it, and
        which ones.
        """
        if headers.get(REFUSAL_HEADER) != self._forwarding.call:
            return self._platform_format.read_response(status, headers)
        return ResponseMetadata(
            request_id=self._request_id,
            is_signed=False,
            is_not_run=headers.get(RAN_HEADER) == Ran.no.value,
            is_misdirected=False,
            load=None,
            has_reached_target=headers.get(REACHED_HEADER) != '0',
            tried=read_tried(headers, self._forwarding.call),
        )

    def read_health(self, headers: HTTPHeaders) -> HealthMetadata:
        """Return the metadata in the response to a health check."""
        return self._platform_format.read_health(headers)

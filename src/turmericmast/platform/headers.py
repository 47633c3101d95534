"""The platform's headers and statuses on requests and responses."""

from typing import final

from tornado.httputil import HTTPHeaders

from turmericmast.balance.load import LoadReport
from turmericmast.balance.statement import TargetStatement
from turmericmast.ids import ApiKey, Seconds, TargetId, TenantId
from turmericmast.numerals import is_decimal
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.headerformat import (
    HeaderFormat,
    HealthMetadata,
    RequestMetadata,
    ResponseMetadata,
)
from turmericmast.web.parse import read_pause

REQUEST_ID_HEADER = 'X-Request-Id'
"""Id that the caller gave to a request; a target sends it back."""
TIMEOUT_HEADER = 'X-Deadline-Ms'
"""Milliseconds that the caller still waits.

The platform's name is misleading: it is a duration, not a point in time."""
EXPECTED_TARGET_HEADER = 'X-Expect-Instance'
"""Id of the target that a request is meant for."""
SIGNATURE_HEADER = 'X-Response-Signature'
"""Signature of a response; it counts if there is exactly one."""
NOT_RUN_HEADER = 'X-Not-Executed'
"""Present if the target has not run the request."""
TARGET_HEADER = 'X-Instance-Id'
"""Id of the target that responds to a health check."""
KEY_HEADER = 'Api-Key'
"""Key of the caller's client account; never passed to a target."""
ACCOUNT_HEADER = 'X-Tenant-Id'
"""Name of the client account, which only this system tells a target."""
LOAD_HEADER = 'X-Server-Load'
"""Running and waiting requests, slots and, optionally, slowness."""
COLD_TIME_HEADER = 'X-Warmup-Ms'
"""Milliseconds that the target stays cold."""
LEAVING_HEADER = 'Server-Leaving'
"""Set to ``1`` in each response of a target that is leaving."""
USUAL_SLOWNESS = 100.0
"""Slowness, the fourth figure of the load, on an undisturbed host."""
MISDIRECTED_STATUS = 421
"""Status of a target that is not the expected one and ran nothing."""
_MIN_LOAD_FIGURES = 3
"""Figures that a load report has without the optional slowness."""
MAX_FIGURE = 1_000_000
"""Largest figure of a load; a report with a larger one is a mistake."""
_REPLACED_HEADERS = frozenset(
    (TIMEOUT_HEADER.lower(), EXPECTED_TARGET_HEADER.lower())
)
"""Headers in lower case that ``target_headers`` sets anew."""
_ACCOUNT_HEADERS = frozenset((KEY_HEADER.lower(), ACCOUNT_HEADER.lower()))


@final
class PlatformHeaders(HeaderFormat):
    """Reads and writes the platform's headers."""

    @property
    def replaced_headers(self) -> frozenset[str]:
        """Return the names of the timeout and of the expected target."""
        return _REPLACED_HEADERS

    def read_request(self, headers: HTTPHeaders) -> RequestMetadata:
        """Return the id and the timeout of a request."""
        caller_timeout = headers.get(TIMEOUT_HEADER, '')
        return RequestMetadata(
            headers.get(REQUEST_ID_HEADER, ''),
            Seconds(float(caller_timeout) / MILLIS_PER_SECOND)
            if is_decimal(caller_timeout)
            else None,
            tuple(map(ApiKey, headers.get_list(KEY_HEADER))),
        )

    @property
    def account_headers(self) -> frozenset[str]:
        """Return the names of the headers with the key and the account."""
        return _ACCOUNT_HEADERS

    def name_account(self, account: TenantId) -> tuple[tuple[str, str], ...]:
        """Return the header that tells a target the account of a request."""
        return ((ACCOUNT_HEADER, account),)

    def timeout_headers(
        self, time_left: Seconds
    ) -> tuple[tuple[str, str], ...]:
        """Return the header with the time until the deadline, in seconds."""
        return (
            (TIMEOUT_HEADER, str(max(int(time_left * MILLIS_PER_SECOND), 1))),
        )

    def target_headers(
        self,
        target: TargetId,
        time_left: Seconds,
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers to add to a request that goes to a target.

        ``time_left`` is the time until the deadline, in seconds.
        """
        return (
            *self.timeout_headers(time_left),
            (EXPECTED_TARGET_HEADER, target),
        )

    def read_response(
        self, status: int, headers: HTTPHeaders
    ) -> ResponseMetadata:
        """Return the metadata in the status and headers of a response."""
        is_misdirected = status == MISDIRECTED_STATUS
        return ResponseMetadata(
            request_id=headers.get(REQUEST_ID_HEADER, ''),
            is_signed=len(headers.get_list(SIGNATURE_HEADER)) == 1,
            is_not_run=NOT_RUN_HEADER in headers or is_misdirected,
            is_misdirected=is_misdirected,
            load=_load(headers.get(LOAD_HEADER, '')),
            statement=_statement(headers),
        )

    def read_health(self, headers: HTTPHeaders) -> HealthMetadata:
        """Return the metadata in the response to a health check."""
        cold_ms = headers.get(COLD_TIME_HEADER, '0')
        return HealthMetadata(
            TargetId(headers.get(TARGET_HEADER, '')),
            Seconds(
                float(cold_ms) / MILLIS_PER_SECOND if is_decimal(cold_ms) else 0
            ),
            _load(headers.get(LOAD_HEADER, '')),
            is_not_run=NOT_RUN_HEADER in headers,
            answers_request=REQUEST_ID_HEADER in headers,
            statement=_statement(headers),
        )


def _statement(headers: HTTPHeaders) -> TargetStatement:
    return TargetStatement(
        is_leaving='1' in map(str.strip, headers.get_list(LEAVING_HEADER)),
        pause=read_pause(headers),
    )


def _load(text: str) -> LoadReport | None:
    figures = text.split(',')
    if len(figures) < _MIN_LOAD_FIGURES or not all(map(is_decimal, figures)):
        return None
    running, waiting, slots, *more = map(float, figures)
    if max(running, waiting, slots, *more) > MAX_FIGURE:
        return None
    slowness = more[0] / USUAL_SLOWNESS if more else 1
    return LoadReport(int(running), int(waiting), int(slots), slowness)

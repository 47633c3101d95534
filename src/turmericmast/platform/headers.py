"""Headers by which the platform marks requests and answers."""

from typing import final

from tornado.httputil import HTTPHeaders

from turmericmast.balance.load import LoadReport
from turmericmast.ids import Seconds, TargetId
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.dialect import (
    AnswerMarks,
    Dialect,
    HealthMarks,
    RequestMarks,
)

REQUEST_ID = 'X-Request-Id'
WAIT_MS = 'X-Deadline-Ms'
"""Misleading name: how long the caller still waits, not a point in time."""
EXPECTED_TARGET = 'X-Expect-Instance'
SIGNATURE = 'X-Response-Signature'
NOT_RUN = 'X-Not-Executed'
TARGET = 'X-Instance-Id'
LOAD = 'X-Server-Load'
COLD_MS = 'X-Warmup-Ms'
USUAL_SLOWNESS = 100.0
"""What the fourth figure of the load is on an undisturbed machine."""
MISDIRECTED = 421
"""Status of a target that is not the expected one; it has run nothing."""
_FIGURES_NEEDED = 3
_SET_HERE = frozenset((WAIT_MS.lower(), EXPECTED_TARGET.lower()))


@final
class PlatformHeaders(Dialect):
    """The platform's headers."""

    own_names = _SET_HERE

    def read_request(self, headers: HTTPHeaders) -> RequestMarks:
        """Return what a caller says beside its request."""
        wait = headers.get(WAIT_MS, '')
        return RequestMarks(
            headers.get(REQUEST_ID, ''),
            Seconds(float(wait) / MILLIS_PER_SECOND)
            if _is_number(wait)
            else None,
        )

    def onward(
        self,
        target: TargetId,
        left: Seconds,
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers that go to a target."""
        return (
            (WAIT_MS, str(max(int(left * MILLIS_PER_SECOND), 1))),
            (EXPECTED_TARGET, target),
        )

    def read_answer(self, status: int, headers: HTTPHeaders) -> AnswerMarks:
        """Return what a target says beside its answer."""
        is_misdirected = status == MISDIRECTED
        return AnswerMarks(
            request_id=headers.get(REQUEST_ID, ''),
            is_signed=SIGNATURE in headers,
            is_unrun=NOT_RUN in headers or is_misdirected,
            is_misdirected=is_misdirected,
            load=_load(headers.get(LOAD, '')),
        )

    def read_health(self, headers: HTTPHeaders) -> HealthMarks:
        """Return what a target says of its health."""
        cold_ms = headers.get(COLD_MS, '0')
        return HealthMarks(
            TargetId(headers.get(TARGET, '')),
            Seconds(
                float(cold_ms) / MILLIS_PER_SECOND if _is_number(cold_ms) else 0
            ),
            _load(headers.get(LOAD, '')),
            is_unrun=NOT_RUN in headers,
        )


def _load(text: str) -> LoadReport | None:
    figures = text.split(',')
    if len(figures) < _FIGURES_NEEDED or not all(map(_is_number, figures)):
        return None
    running, waiting, slots, *more = map(float, figures)
    slowness = more[0] / USUAL_SLOWNESS if more else 1
    return LoadReport(int(running), int(waiting), int(slots), slowness)


def _is_number(text: str) -> bool:
    return text.strip().replace('.', '', 1).isdecimal()

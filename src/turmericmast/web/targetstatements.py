"""Use of what targets state about themselves, with log lines and metrics."""

import enum
from http import HTTPStatus
from typing import final

from turmericmast.balance.pause import PauseOutcome, PauseRequest
from turmericmast.balance.statement import TargetStatement
from turmericmast.balance.targetview import TargetView
from turmericmast.clock import Clock
from turmericmast.events import EventLog
from turmericmast.metrics import Metrics
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.edgeevents import EdgeEvent, describe_target
from turmericmast.web.loadsharing import LoadSharing


@final
class StatementSource(enum.Enum):
    """From where a statement came; the values are written to events."""

    response = 'response'
    """The response to a request of this instance."""
    health = 'health'
    """The response to a health check of this instance."""
    news = 'news'
    """Another instance."""


@final
class TargetStatements:
    """Records statements, and tells the instances nearby of them."""

    def __init__(
        self,
        load_sharing: LoadSharing,
        clock: Clock,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        """Tell others of them."""
        self._load_sharing = load_sharing
        self._clock = clock
        self._metrics = metrics
        self._events = events

    def apply_response(
        self, view: TargetView, status: int, statement: TargetStatement
    ) -> None:
        """Record the statement in the target's response to a request."""
        self._apply(view, status, statement, StatementSource.response)

    def apply_health(
        self, view: TargetView, status: int, statement: TargetStatement
    ) -> None:
        """Record the statement in the target's response to a health check."""
        self._apply(view, status, statement, StatementSource.health)

    def apply_news(self, view: TargetView) -> None:
        """Log that another instance has told that a target is leaving."""
        self._log_departure(view, StatementSource.news)

    def _apply(
        self,
        view: TargetView,
        status: int,
        statement: TargetStatement,
        source: StatementSource,
    ) -> None:
        if status == HTTPStatus.SERVICE_UNAVAILABLE and statement.pause:
            self._pause(view, statement.pause, source)
        is_new = statement.is_leaving and view.departure.begin(
            self._clock.now()
        )
        if is_new:
            self._log_departure(view, source)
            self._load_sharing.share_result(view)

    def _pause(
        self, view: TargetView, request: PauseRequest, source: StatementSource
    ) -> None:
        now = self._clock.now()
        outcome = view.pause.begin(request, now)
        self._metrics.count('target_pauses', outcome=outcome.value)
        if outcome is PauseOutcome.unchanged:
            return
        self._events.write(
            EdgeEvent.target_paused.value,
            **describe_target(view, now),
            cause=source.value,
            outcome=outcome.value,
            until_ms=self._wall_ms_in(view.pause.time_left(now)),
        )

    def _wall_ms_in(self, seconds: float) -> int:
        return int(self._clock.wall() + seconds * MILLIS_PER_SECOND)

    def _log_departure(self, view: TargetView, source: StatementSource) -> None:
        now = self._clock.now()
        self._metrics.count('target_departures', source=source.value)
        self._events.write(
            EdgeEvent.target_leaving.value,
            **describe_target(view, now),
            cause=source.value,
            until_ms=self._wall_ms_in(view.departure.time_left(now)),
        )

"""Events of an edge that touch a request or what is believed of a target."""

import enum
from typing import final

from turmericmast.balance.pool import Candidate
from turmericmast.balance.targetview import TargetView
from turmericmast.events import EventLog, Field
from turmericmast.ids import Seconds
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.problem import Problem


@final
class EdgeEvent(enum.Enum):
    """What an edge writes a line about."""

    refused = 'request_refused'
    retried = 'request_repeated'
    hedged = 'request_hedged'
    caller_left = 'request_left'
    aborted = 'request_broken_off'
    target_failed = 'request_failed_at_target'
    eligibility_changed = 'target_trust'
    target_crashed = 'target_crashed'


def describe_target(view: TargetView, now: Seconds) -> dict[str, Field]:
    """Return what decided for or against a target, with its age."""
    age = view.report_age(now)
    return {
        'target': view.record.target,
        'domain': view.record.domain,
        'trust': view.eligibility(now).value,
        'load_age_ms': int(min(age, MILLIS_PER_SECOND) * MILLIS_PER_SECOND),
        'busy': view.outstanding(),
        'slots': view.report.slots,
        'slowness': view.report.slowness,
    }


def describe_candidate(
    chosen: Candidate | None,
    now: Seconds,
) -> dict[str, Field]:
    """Return the target that looked best, and what it was worth."""
    if chosen is None:
        return {'target': None}
    return {
        **describe_target(chosen.view, now),
        'worth': round(chosen.score, 2),
    }


def describe_problem(problem: Problem) -> dict[str, Field]:
    """Return what a caller is told in place of an answer."""
    return {
        'status': int(problem.status),
        'step': problem.step,
        'reason': problem.detail,
        'ran': problem.ran.value,
        'retry_after_ms': problem.retry_after_ms,
    }


@final
class RequestLog:
    """Writes the lines of one request."""

    def __init__(self, events: EventLog, **common: Field) -> None:
        """Put ``about`` into each line, the request's id among it."""
        self._events = events
        self._common = common

    def write(self, event: EdgeEvent, **fields: Field) -> None:
        """Write a line about a decision."""
        self._events.write(event.value, **self._common, **fields)

"""Log events of an edge about requests and the eligibility of targets."""

import enum
from typing import final

from turmericmast.balance.candidate import Candidate
from turmericmast.balance.targetview import TargetView
from turmericmast.events import Field
from turmericmast.ids import Seconds
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.problem import Problem


@final
class EdgeEvent(enum.Enum):
    """Events that an edge logs; the values are the names in the log."""

    refused = 'request_refused'
    retried = 'request_repeated'
    hedged = 'request_hedged'
    caller_left = 'request_left'
    aborted = 'request_broken_off'
    answered = 'request_answered'
    target_failed = 'request_failed_at_target'
    eligibility_changed = 'target_trust'
    response_rejected = 'response_rejected'
    stray_bytes = 'stray_bytes'
    target_framing = 'target_framing'
    target_crashed = 'target_crashed'
    target_leaving = 'target_leaving'
    target_paused = 'target_paused'
    reach_changed = 'target_reach'
    forwarded = 'request_forwarded'
    split = 'request_split'
    key_trust_changed = 'key_trust'


def describe_target(view: TargetView, now: Seconds) -> dict[str, Field]:
    """Return the state by which a target is selected, as event fields.

    ``trust`` is the eligibility of the target, ``busy`` its outstanding
    requests. ``load_age_ms`` is capped at 1000 seconds, since it is infinite
    before the first load report.
    """
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
    candidate: Candidate | None,
    now: Seconds,
) -> dict[str, Field]:
    """Return the best target, and its score as ``worth``, as event fields."""
    if candidate is None:
        return {'target': None}
    return {
        **describe_target(candidate.view, now),
        'worth': round(candidate.score, 2),
    }


def describe_problem(problem: Problem) -> dict[str, Field]:
    """Return an error response, as event fields."""
    return {
        'status': int(problem.status),
        'step': problem.step,
        'reason': problem.detail,
        'ran': problem.ran.value,
        'retry_after_ms': problem.retry_after_ms,
    }

"""When the share of a new version rises, and how its rollout ends."""

import dataclasses
from typing import Final, final

from turmericmast.cluster.commands import DecideRollout
from turmericmast.ids import Millis, Seconds
from turmericmast.rollout.evidence import (
    LEAST_SAMPLE,
    Evidence,
    evidence_since,
    new_responses,
    sum_routes,
)
from turmericmast.rollout.judgement import Judgement, Verdict, judge
from turmericmast.rollout.records import (
    FULL_SHARE,
    RolloutState,
    ServiceRollout,
)
from turmericmast.rollout.shares import EVIDENT_SHARE, RISING_SHARES
from turmericmast.units import MILLIS_PER_SECOND

UNDECIDED_PART: Final = 0.5
"""Part of the exposure share that is used without evidence."""
TRIAL_PART: Final = 0.45
"""Part of the time budget with the undecided share.

New targets are cold in the first seconds of it."""
STEP_PART: Final = 0.065
"""Part of the time budget that each rising share lasts."""
LEAST_STEP: Final = 0.75
"""Seconds of a step at least, within which its evidence arrives.

Instances learn of it within 0.1 s, poll every 0.4 s, and requests take time."""
LEAST_STEP_PART: Final = 0.1
"""Largest part of the time budget that ``LEAST_STEP`` may take."""
ENOUGH_RESPONSES: Final = 20
"""Responses of the new version that allow the share to rise.

Of a version that fails every tenth response, fewer mostly show nothing."""
PATIENCE_PART: Final = 0.5
"""Part of the time budget after which fewer responses are enough.

A service with so few requests stays within the exposure slack."""
CARRIED_PART: Final = 0.5
"""Part of its share that a version must have of the responses in a step."""
NOTE_PART: Final = 0.1
"""Part of the time budget after which the elapsed time is in the log again.

So much time is missing at most, once all members have lost their power."""
LAST_PART: Final = 0.9
"""Part of the time budget at which a version in doubt is rolled back."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What the leader knows of a running rollout."""

    elapsed: Seconds
    """Time since the order."""
    in_step: Seconds
    """Time since the share was set."""
    evidence: Evidence
    at_step: Evidence
    """The evidence when the share was set."""
    ready_targets: int
    """Targets of the new version that accept requests."""


@final
class RolloutPolicy:
    """Decides about running rollouts, by evidence and time."""

    def __init__(self, exposure_share: float) -> None:
        """Keep to the part of the requests that a bad version may get."""
        undecided = int(exposure_share * UNDECIDED_PART * FULL_SHARE)
        self._undecided_share = max(undecided, 1)

    def decide(
        self, rollout: ServiceRollout, progress: Progress
    ) -> DecideRollout | None:
        """Return the next step of a rollout or its end, if one is due."""
        if not rollout.share:
            return _decision(
                rollout, progress, self._undecided_share, 'ordered'
            )
        judgement = judge(
            progress.evidence,
            evidence_since(progress.evidence, progress.at_step),
        )
        failure = _find_failure(rollout, progress, judgement)
        if failure:
            return _end(rollout, progress, RolloutState.rolled_back, failure)
        is_good = judgement.verdict is Verdict.good
        if not is_good or not _is_step_over(rollout, progress):
            return _note_time(rollout, progress)
        reason = f'good: {new_responses(progress.evidence)} responses'
        if rollout.share >= FULL_SHARE:
            return _end(rollout, progress, RolloutState.completed, reason)
        return _decision(rollout, progress, _next_share(rollout), reason)


def _note_time(
    rollout: ServiceRollout, progress: Progress
) -> DecideRollout | None:
    """Return the same step with the time elapsed, if that is due."""
    noted = rollout.elapsed_ms / MILLIS_PER_SECOND
    if progress.elapsed - noted < NOTE_PART * _budget(rollout):
        return None
    return _decision(rollout, progress, rollout.share, rollout.reason)


def _find_failure(
    rollout: ServiceRollout, progress: Progress, judgement: Judgement
) -> str:
    """Return why a version is rolled back now, empty if it is not."""
    if judgement.verdict is Verdict.bad:
        return judgement.reason
    if progress.elapsed < LAST_PART * _budget(rollout):
        return ''
    if not progress.ready_targets:
        return 'no target of the version is ready'
    if not _carries_load(rollout, progress):
        return 'its targets respond to less than half of their share'
    return judgement.reason


def _is_step_over(rollout: ServiceRollout, progress: Progress) -> bool:
    budget = _budget(rollout)
    if not progress.ready_targets:
        return False
    if rollout.share >= EVIDENT_SHARE:
        least = min(LEAST_STEP, LEAST_STEP_PART * budget)
        is_long = progress.in_step >= max(STEP_PART * budget, least)
        return is_long and _carries_load(rollout, progress)
    if progress.elapsed < TRIAL_PART * budget:
        return False
    is_enough = new_responses(progress.evidence) >= ENOUGH_RESPONSES
    return is_enough or progress.elapsed >= PATIENCE_PART * budget


def _carries_load(rollout: ServiceRollout, progress: Progress) -> bool:
    """Tell whether the new version responds as its share says.

    Requests that its targets cannot take go to the old version, which must
    stay until the new targets are warm. Part of the responses in a step are to
    requests from before it.
    """
    if rollout.share < EVIDENT_SHARE:
        return True
    counted = sum_routes(progress.evidence).since(sum_routes(progress.at_step))
    total = counted.old.responses + counted.new.responses
    wanted = CARRIED_PART * rollout.share / FULL_SHARE
    return total < LEAST_SAMPLE or counted.new.responses >= wanted * total


def _next_share(rollout: ServiceRollout) -> int:
    return next(share for share in RISING_SHARES if share > rollout.share)


def _budget(rollout: ServiceRollout) -> float:
    return rollout.duration_ms / MILLIS_PER_SECOND


def _end(
    rollout: ServiceRollout,
    progress: Progress,
    state: RolloutState,
    reason: str,
) -> DecideRollout:
    share = FULL_SHARE if state is RolloutState.completed else 0
    return dataclasses.replace(
        _decision(rollout, progress, share, reason), state=state
    )


def _decision(
    rollout: ServiceRollout, progress: Progress, share: int, reason: str
) -> DecideRollout:
    return DecideRollout(
        rollout.service,
        rollout.order,
        RolloutState.running,
        share,
        Millis(int(progress.elapsed * MILLIS_PER_SECOND)),
        reason,
    )

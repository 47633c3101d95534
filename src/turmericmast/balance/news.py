"""What instances tell each other of the load of targets."""

import dataclasses
import math
from typing import final

from turmericmast.balance.load import LoadReport
from turmericmast.balance.standing import Standing
from turmericmast.ids import DomainId, Millis, Seconds, TargetId
from turmericmast.units import MILLIS_PER_SECOND

PERCENT = 100
OLDEST_MS = 10_000
"""Milliseconds; what is older tells nothing any more."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """What an instance knows of one target, with its age."""

    target: TargetId
    age_ms: Millis
    running: int
    waiting: int
    slots: int
    slowness_percent: int
    proof_age_ms: Millis
    """Since the target itself said that it is there."""
    cold_ms: Millis
    """For which it stays cold."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadNews:
    """News of one instance."""

    domain: DomainId
    """Failure domain of the sender."""
    hand_on: bool
    """Whether the receiver gives it to the others in its domain."""
    loads: tuple[TargetLoad, ...] = ()
    started: tuple[TargetId, ...] = ()
    """Targets that a request is about to be sent to."""
    lost: tuple[TargetId, ...] = ()
    """Targets that a connection was lost to."""


def describe(standing: Standing, now: Seconds) -> TargetLoad:
    """Return what is known of a target as news."""
    report = standing.report
    return TargetLoad(
        standing.record.target,
        _millis(standing.age(now)),
        report.running,
        report.waiting,
        report.slots,
        int(report.slowness * PERCENT),
        _millis(standing.proof_age(now)),
        _millis(standing.cold_left(now)),
    )


def learn(standing: Standing, load: TargetLoad, now: Seconds) -> bool:
    """Take news of a target; tell whether any of it was newer."""
    reported_at = Seconds(now - load.age_ms / MILLIS_PER_SECOND)
    proved_at = Seconds(now - load.proof_age_ms / MILLIS_PER_SECOND)
    is_report_new = reported_at > standing.reported_at
    is_proof_new = load.proof_age_ms < OLDEST_MS and (
        now - proved_at < standing.proof_age(now)
    )
    if is_report_new:
        standing.hear_load(
            LoadReport(
                load.running,
                load.waiting,
                load.slots,
                load.slowness_percent / PERCENT,
            ),
            reported_at,
        )
    if is_proof_new:
        cold_ms = load.cold_ms + load.proof_age_ms if load.cold_ms else 0
        standing.prove(Seconds(cold_ms / MILLIS_PER_SECOND), proved_at)
    return is_report_new or is_proof_new


def _millis(seconds: float) -> Millis:
    if not math.isfinite(seconds):
        return Millis(OLDEST_MS)
    return Millis(min(max(int(seconds * MILLIS_PER_SECOND), 0), OLDEST_MS))

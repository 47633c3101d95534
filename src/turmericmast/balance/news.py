"""Gossip between instances about the load of targets."""

import dataclasses
import math
from typing import final

from turmericmast.balance.load import LoadReport
from turmericmast.balance.targetview import TargetView
from turmericmast.ids import Born, DomainId, Millis, Seconds, TargetId
from turmericmast.units import MILLIS_PER_SECOND

PERCENT = 100
"""Percent in a whole."""
NEWS_JITTER = 0.02
"""Seconds by which news of one confirmation may arrive sooner than others.

A confirmation that seems newer by less is taken for the known one."""
MAX_AGE_MS = 10_000
"""Milliseconds at which ages are capped; older reports are of no use."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """The newest load report of one target that the sender knows.

    Ages are sent instead of times, since the clocks of instances differ.
    """

    target: TargetId
    age_ms: Millis
    """Milliseconds since the report was made."""
    running: int
    """Requests that the target is processing."""
    waiting: int
    """Requests that are queued at the target."""
    slots: int
    """Requests that the target can process at a time."""
    slowness_percent: int
    """Service time in percent of the normal one."""
    proof_age_ms: Millis
    """Milliseconds since the target itself confirmed that it is up.

    ``MAX_AGE_MS`` if the sender has no confirmation to tell."""
    cold_ms: Millis
    """Milliseconds until the target is warm; 0 when it is."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetDeparture:
    """That one incarnation of a target is leaving."""

    target: TargetId
    born: Born
    """When this incarnation started."""
    age_ms: Millis
    """Milliseconds since it first said so."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadNews:
    """A datagram about the load of targets from one instance to another."""

    domain: DomainId
    """Failure domain of the sender."""
    hand_on: bool
    """Whether the receiver, the delegate of its domain, forwards it there."""
    loads: tuple[TargetLoad, ...] = ()
    """Load reports of targets."""
    started: tuple[TargetId, ...] = ()
    """Targets to which the sender is about to send a request."""
    lost: tuple[TargetId, ...] = ()
    """Targets at which a probe or connection of the sender was lost."""
    leaving: tuple[TargetDeparture, ...] = ()
    """Targets that say that they are leaving."""


def describe_load(
    view: TargetView, now: Seconds, *, is_forwarded: bool = False
) -> TargetLoad:
    """Return the load and verification of a target, to send to peers.

    The verification is left out if another instance received it, unless it
    ``is_forwarded``: each time that it is told, it seems younger by the time
    that the news takes, so it must not go back and forth.
    """
    report = view.report
    is_told = view.confirmation.is_own or is_forwarded
    verification_age = view.verification_age(now) if is_told else math.inf
    return TargetLoad(
        view.record.target,
        _millis(view.report_age(now)),
        report.running,
        report.waiting,
        report.slots,
        int(report.slowness * PERCENT),
        _millis(verification_age),
        _millis(view.cold_time_left(now)),
    )


def describe_departure(view: TargetView, now: Seconds) -> TargetDeparture:
    """Return the departure of a leaving target, to send to peers."""
    age_ms = int(view.departure.age(now) * MILLIS_PER_SECOND)
    return TargetDeparture(view.record.target, view.record.born, Millis(age_ms))


def merge_load(view: TargetView, load: TargetLoad, now: Seconds) -> bool:
    """Update a view from a peer's report.

    Load and verification are taken over independently, each only if it is
    newer than the known one. Return whether either was.
    """
    reported_at = Seconds(now - load.age_ms / MILLIS_PER_SECOND)
    verified_at = Seconds(now - load.proof_age_ms / MILLIS_PER_SECOND)
    is_report_new = reported_at > view.reported_at
    is_colder = load.cold_ms > 0 and not view.cold_time_left(now)
    least = 0 if is_colder else NEWS_JITTER
    is_verification_new = load.proof_age_ms < MAX_AGE_MS and (
        now - verified_at + least < view.verification_age(now)
    )
    if is_report_new:
        view.update_load(
            LoadReport(
                load.running,
                load.waiting,
                load.slots,
                load.slowness_percent / PERCENT,
            ),
            reported_at,
        )
    if is_verification_new:
        cold_ms = load.cold_ms + load.proof_age_ms if load.cold_ms else 0
        cold_time_left = Seconds(cold_ms / MILLIS_PER_SECOND)
        view.verify(cold_time_left, verified_at, is_own=False)
    return is_report_new or is_verification_new


def _millis(seconds: float) -> Millis:
    # Rounded up, since what an instance tells must not come back as newer.
    if not math.isfinite(seconds):
        return Millis(MAX_AGE_MS)
    return Millis(
        min(max(math.ceil(seconds * MILLIS_PER_SECOND), 0), MAX_AGE_MS)
    )

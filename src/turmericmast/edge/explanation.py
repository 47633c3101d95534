"""Why an instance sends requests to a target, or does not."""

import dataclasses
import enum
from types import MappingProxyType
from typing import final

from turmericmast.balance.openness import time_until_open
from turmericmast.balance.targetview import Eligibility, TargetView
from turmericmast.cluster.records import TargetPhase
from turmericmast.edge.edge import Edge
from turmericmast.ids import Seconds


@final
class Obstacle(enum.Enum):
    """What keeps requests from a target, the strongest reason first."""

    draining = 'draining'
    """It has reported that it is leaving."""
    leaving = 'leaving'
    """Its answers say that it leaves: at most the last resort for a while."""
    paused = 'paused'
    """It has rejected a request of this instance and asked for a pause."""
    evacuated = 'evacuated'
    """Operators have taken its failure domain out."""
    ejected = 'ejected'
    """A connection or probe was lost, or it rejected a request."""
    unverified = 'unverified'
    """It has not answered a probe or request for a second."""
    unreachable = 'unreachable'
    """This instance has lost its path to it; others may reach it."""
    cold = 'cold'
    """It has just started: only a few instances send, at a limited rate."""
    unhealthy = 'unhealthy'
    """Its health check fails; it is used if others are much worse."""
    full = 'full'
    """All its slots are taken; requests wait there or go elsewhere."""
    none = 'none'
    """Nothing: the best by score is used."""


_OBSTACLE_BY_ELIGIBILITY = MappingProxyType(
    {
        Eligibility.ejected: Obstacle.ejected,
        Eligibility.unverified: Obstacle.unverified,
        Eligibility.unreachable: Obstacle.unreachable,
        Eligibility.cold: Obstacle.cold,
    }
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetExplanation:
    """What an instance knows of a target, and what keeps requests from it."""

    view: TargetView
    obstacle: Obstacle
    report_age: float
    """Seconds since its newest load report; infinite without one."""
    seconds_left: float
    """Seconds until a pause, an ejection, a cold start or the use of a leaving
    target ends, 0 without one."""
    failure_share: float
    """Recent share of failed answers, from 0 to 1."""


def explain_target(
    edge: Edge, view: TargetView, now: Seconds
) -> TargetExplanation:
    """Return why requests do, or do not, go to a target."""
    return TargetExplanation(
        view,
        _find_obstacle(edge, view, now),
        view.report_age(now),
        _seconds_left(view, now),
        view.failure_share(now),
    )


def _seconds_left(view: TargetView, now: Seconds) -> float:
    if view.departure.has_begun:
        return view.departure.time_left(now)
    return max(time_until_open(view, now), view.cold_time_left(now), 0)


def _find_obstacle(edge: Edge, view: TargetView, now: Seconds) -> Obstacle:
    if view.record.phase is TargetPhase.draining:
        return Obstacle.draining
    if view.departure.has_begun:
        return Obstacle.leaving
    if view.pause.is_on(now):
        return Obstacle.paused
    if view.record.domain in edge.evacuated:
        return Obstacle.evacuated
    by_eligibility = _OBSTACLE_BY_ELIGIBILITY.get(view.eligibility(now))
    if by_eligibility:
        return by_eligibility
    if view.is_unhealthy:
        return Obstacle.unhealthy
    return Obstacle.none if view.has_free_slot() else Obstacle.full

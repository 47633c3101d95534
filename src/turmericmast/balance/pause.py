"""Targets that ask this instance for a pause."""

import dataclasses
import enum
import math
from typing import final

from turmericmast.ids import Seconds

MAX_PAUSE = 300.0
"""Longest pause in seconds; one that wants nothing for longer can leave."""
RETURN_SPREAD = 0.1
"""Fraction of a pause over which the instances that wait for its end return."""
MAX_RETURN_SPREAD = 0.5
"""Longest time in seconds over which they return."""
RAMP = 2.0
"""Seconds after a pause in which the requests at a time rise to all slots."""
MIN_EXTENSION = 0.5
"""Seconds by which the end must move to count as a change.

Rejections of requests that were under way each move it by a little."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PauseRequest:
    """For how long a target wants nothing from this instance."""

    seconds: float | None
    """The time in seconds; ``None`` if it cannot be read."""


@final
class PauseOutcome(enum.Enum):
    """What became of a request for a pause; the values are metric labels."""

    begun = 'begun'
    extended = 'extended'
    """A running pause now ends markedly later."""
    unchanged = 'unchanged'
    """A running pause goes on, or the time was 0."""
    bounded = 'bounded'
    """It was longer than ``MAX_PAUSE``, which is used instead."""
    unreadable = 'unreadable'
    """It was passed over."""


@final
class PauseStage(enum.Enum):
    """Whether a target is paused."""

    none = 'none'
    paused = 'paused'
    """It gets neither requests nor health checks."""
    returning = 'returning'
    """The pause has ended; it gets a few requests at a time (slow start)."""


@final
class Pause:
    """The pause for which one incarnation of a target has asked.

    It binds only the instance that was answered.
    """

    def __init__(self, spread_rank: float) -> None:
        """Begin without a pause.

        ``spread_rank``, from 0 to 1, is different in each instance, so that
        instances that were paused together return one after the other.
        """
        self._spread_rank = spread_rank
        self._ends_at = -math.inf
        self.returns_at = -math.inf
        """When this instance sends again, at the end or a little later."""
        self.returned_at = -math.inf
        """When the slow start has ended, ``RAMP`` seconds after that."""

    def begin(self, request: PauseRequest, now: Seconds) -> PauseOutcome:
        """Pause from ``now`` on, when the answer of the target arrived.

        A running pause is never shortened: each answer holds until its end.
        """
        if request.seconds is None:
            return PauseOutcome.unreadable
        length = min(request.seconds, MAX_PAUSE)
        is_new = self.stage(now) is not PauseStage.paused and length > 0
        extension = now + length - max(self._ends_at, now)
        self._extend(length, now)
        if request.seconds > MAX_PAUSE:
            return PauseOutcome.bounded
        if is_new:
            return PauseOutcome.begun
        return (
            PauseOutcome.extended
            if extension >= MIN_EXTENSION
            else PauseOutcome.unchanged
        )

    def stage(self, now: Seconds) -> PauseStage:
        """Return whether the target is paused."""
        if now < self.returns_at:
            return PauseStage.paused
        if now < self.returned_at:
            return PauseStage.returning
        return PauseStage.none

    def is_on(self, now: Seconds) -> bool:
        """Tell whether the target wants nothing from this instance."""
        return now < self.returns_at

    def time_left(self, now: Seconds) -> float:
        """Return the seconds until this instance sends again, 0 if it does."""
        return max(self.returns_at - now, 0)

    def admits(self, in_flight: int, slots: int, now: Seconds) -> bool:
        """Tell whether another request fits into the slow start, if it is on.

        ``in_flight`` is the number of requests that this instance has there.
        """
        progress = (now - self.returns_at) / RAMP
        return progress >= 1 or in_flight < 1 + int(slots * progress)

    def _extend(self, length: float, now: Seconds) -> None:
        if length <= 0 or now + length <= self._ends_at:
            return
        spread = min(RETURN_SPREAD * length, MAX_RETURN_SPREAD)
        self._ends_at = now + length
        self.returns_at = self._ends_at + self._spread_rank * spread
        self.returned_at = self.returns_at + RAMP

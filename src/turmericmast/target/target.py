"""The target aggregate: everything the owner of a target knows about it."""

import collections
import enum
from types import MappingProxyType
from typing import final

from turmericmast.call.call import Loss
from turmericmast.ids import CallId, Incarnation, Seconds, TargetId
from turmericmast.target.announcement import (
    Announcement,
    TargetSpec,
    TargetState,
)
from turmericmast.target.slowstart import SlowStart

SILENCE_LIMIT = 5.0
"""Seconds without an announcement after which no new work is sent."""
GONE_LIMIT = 60.0
"""Seconds without an announcement after which a target is forgotten."""
SILENCE_FACTOR = 4
"""The same in multiples of the interval asked for, where that is longer."""
ERROR_STREAK = 3
"""Failed answers in a row after which a target is set aside for a while."""
ERROR_PAUSE = 0.5
"""Seconds of the first such pause; each further one is twice as long."""
ERROR_PAUSE_MAX = 8.0
FOREIGN_LIMIT = 30.0
"""Seconds after which work of an earlier owner is over at the latest."""
MAX_ENDED = 8
"""Earlier starts of a target that are remembered."""
SMOOTHING = 0.2
"""Weight of the newest sample in the mean service time."""
COLD_JUMP = 8.0
"""A success this many times slower than the mean means: cold again."""
COLD_JUMP_FLOOR = 0.2
"""Seconds; slower answers below this are noise, not a cold start."""
REFUSAL_PAUSE = 0.25
"""Seconds without new work after a refused connection or a shed reply."""


@final
class Ending(enum.Enum):
    """How a request at a target ended."""

    success = 'success'
    error = 'error'
    """A whole answer that says the target failed (5xx)."""
    refused = 'refused'
    shed = 'shed'
    lost = 'lost'
    cancelled = 'cancelled'

    @classmethod
    def of_loss(cls, loss: Loss) -> 'Ending':
        """Return what the loss of a call means for its target."""
        return _ENDING_BY_LOSS[loss]


_ENDING_BY_LOSS = MappingProxyType(
    {
        Loss.never_sent: Ending.refused,
        Loss.shed: Ending.shed,
        Loss.connection_lost: Ending.lost,
        Loss.timed_out: Ending.error,
        Loss.cut_short: Ending.lost,
        Loss.failed: Ending.error,
    },
)


@final
class Target:
    """Counts every request at a target and says when one more may start."""

    def __init__(
        self,
        spec: TargetSpec,
        now: Seconds,
        *,
        unclean_handover: bool,
    ) -> None:
        """Take over a target.

        A ``wary`` owner took it from an owner whose lease ran out and whose
        requests may still run: it waits for the target's own word.
        """
        self.spec = spec
        self.is_excluded = False
        self.is_moving = False
        """Whether it is to be released to another owner."""
        self.announce_interval = 1.0
        self.reported_in_flight = 0
        """Requests in flight by the target's own, stale word."""
        self.in_flight: dict[CallId, Seconds] = {}
        self.mean_service_time = float(0)
        self._slow_start = SlowStart(spec.cold_slots, spec.slots)
        self._ended: collections.deque[Incarnation] = collections.deque(
            maxlen=MAX_ENDED,
        )
        """Earlier starts, whose announcements may still be on their way."""
        # Until the target itself says otherwise: the last owner may have
        # known it cold, and successes alone do not make it warm.
        self._state = TargetState.cold
        self._heard_at = now
        self._foreign = spec.slots if unclean_handover else 0
        self._foreign_until = now + FOREIGN_LIMIT if unclean_handover else now
        self._paused_until = now
        self._errors = 0
        self._suspended_until = now

    @property
    def target(self) -> TargetId:
        """Return the id."""
        return self.spec.target

    @property
    def is_leaving(self) -> bool:
        """Tell whether the target announced that it leaves."""
        return self._state is TargetState.leaving

    @property
    def limit(self) -> int:
        """Return how many requests the target bears at present."""
        if self._state is TargetState.cold:
            return self.spec.cold_slots
        return self._slow_start.limit

    def is_available(self, now: Seconds) -> bool:
        """Tell whether any new work may be sent at all."""
        return not (
            self.is_excluded
            or self.is_leaving
            or now < self._paused_until
            or self.is_stale(now)
        )

    def free_slots(self, now: Seconds) -> int:
        """Return how many requests may start now."""
        if not self.is_available(now):
            return 0
        foreign = self._foreign if now < self._foreign_until else 0
        return max(self.limit - len(self.in_flight) - foreign, 0)

    def pause_ends_at(self) -> Seconds:
        """Return when a pause ends that keeps new work away."""
        return self._paused_until

    def apply_announcement(self, announcement: Announcement, now: Seconds) -> None:
        """Take an announcement of the target itself.

        One of an earlier start arrives late, and says nothing of this one.
        """
        if announcement.spec.incarnation in self._ended:
            return
        if announcement.spec.incarnation != self.spec.incarnation:
            self._ended.append(self.spec.incarnation)
            self._slow_start = SlowStart(
                announcement.spec.cold_slots,
                announcement.spec.slots,
            )
            self._foreign = 0
            self.mean_service_time = float(0)
        self.spec = announcement.spec
        if announcement.state is TargetState.cold:
            self._slow_start.reset()
        self._state = announcement.state
        self.reported_in_flight = announcement.in_flight
        self._heard_at = now
        self._foreign = min(
            self._foreign,
            max(announcement.in_flight - len(self.in_flight), 0),
        )

    def is_changed_by(self, announcement: Announcement) -> bool:
        """Tell whether an announcement changes what is known."""
        known = (self.spec, self._state)
        return known != (announcement.spec, announcement.state)

    def start(self, call: CallId, now: Seconds) -> None:
        """Count a request that is about to be sent."""
        self.in_flight[call] = now

    def end(self, call: CallId, ending: Ending, now: Seconds) -> None:
        """Forget a request and learn from its ending."""
        started = self.in_flight.pop(call, None)
        if started is None:
            return
        if ending is Ending.success:
            self._errors = 0
            self._learn(now - started)
        elif ending is Ending.error:
            self._suspend(now)
        elif ending is not Ending.cancelled:
            self._slow_start.reset()
            self._paused_until = Seconds(now + REFUSAL_PAUSE)

    def oldest_request_age(self, now: Seconds) -> float:
        """Return the age in seconds of the oldest request in flight."""
        oldest = next(iter(self.in_flight.values()), now)
        return now - oldest

    def is_stale(self, now: Seconds) -> bool:
        """Tell whether an announcement is overdue."""
        return now - self._heard_at > self._patience()

    def is_ejected(self, now: Seconds) -> bool:
        """Tell whether it failed often, so that others should be tried."""
        return now < self._suspended_until

    def is_expired(self, now: Seconds) -> bool:
        """Tell whether it was silent for so long that it may be forgotten."""
        limit = max(GONE_LIMIT, 2 * self._patience())
        return now - self._heard_at > limit

    def _patience(self) -> float:
        """Return how long it may be silent."""
        return max(SILENCE_LIMIT, SILENCE_FACTOR * self.announce_interval)

    def _suspend(self, now: Seconds) -> None:
        self._errors += 1
        excess = self._errors - ERROR_STREAK
        if excess >= 0:
            pause = min(ERROR_PAUSE * 2 ** min(excess, 8), ERROR_PAUSE_MAX)
            self._suspended_until = Seconds(now + pause)

    def _learn(self, took: float) -> None:
        has_jumped = took > max(COLD_JUMP * self.mean_service_time, COLD_JUMP_FLOOR)
        if self.mean_service_time and has_jumped:
            self._slow_start.reset()
        else:
            self._slow_start.record_success()
        weight = SMOOTHING if self.mean_service_time else 1
        self.mean_service_time += weight * (took - self.mean_service_time)

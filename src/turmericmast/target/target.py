"""The target aggregate: load, health and limits as the owner tracks them."""

import collections
import enum
from types import MappingProxyType
from typing import final

from turmericmast.balance.pause import Pause
from turmericmast.call.call import Loss
from turmericmast.ids import CallId, Incarnation, Seconds, TargetId
from turmericmast.target.announcement import (
    Announcement,
    TargetSpec,
    TargetState,
)
from turmericmast.target.slowstart import SlowStart

STALE_AFTER = 5.0
"""Seconds without an announcement after which no new requests are sent."""
EXPIRED_AFTER = 60.0
"""Seconds without an announcement after which a target may be removed."""
STALE_INTERVALS = 4
"""Announcement intervals after which a target is stale.

It applies when it is longer than ``STALE_AFTER``.
"""
EJECTION_ERRORS = 3
"""Consecutive failures after which a target is ejected as an outlier."""
BASE_EJECTION = 0.5
"""Seconds of the first ejection; each further failure doubles it."""
MAX_EJECTION = 8.0
"""Seconds of the longest ejection."""
PREVIOUS_OWNER_TIMEOUT = 30.0
"""Seconds after which requests of the previous owner have surely ended."""
MAX_ENDED_INCARNATIONS = 8
"""Ended incarnations of a target whose late announcements are recognised."""
SMOOTHING = 0.2
"""Weight of the newest sample in the moving mean of the service time."""
COLD_START_FACTOR = 8.0
"""Multiple of the mean service time that indicates a cold start."""
MIN_COLD_START_TIME = 0.2
"""Seconds below which a slow answer is noise rather than a cold start."""
REFUSAL_PAUSE = 0.25
"""Seconds without new requests after a lost, refused or shed request."""


@final
class Ending(enum.Enum):
    """How a request at a target ended, as far as the target is concerned."""

    success = 'success'
    error = 'error'
    """A complete answer with status 5xx, or a timeout."""
    refused = 'refused'
    """Nothing was sent, for example since the connection was refused."""
    shed = 'shed'
    """The target rejected the request without running it."""
    lost = 'lost'
    """The connection broke before the answer was complete."""
    malformed = 'malformed'
    """The answer broke the protocol, so that nothing of it was used."""
    cancelled = 'cancelled'
    """The caller went away, or the entry withheld the request.

    Neither says anything about the target.
    """

    @classmethod
    def of_loss(cls, loss: Loss) -> 'Ending':
        """Return how the target is charged for a failed attempt."""
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


_PAUSING = frozenset(
    (Ending.refused, Ending.shed, Ending.lost, Ending.malformed)
)
"""Endings after which new requests pause."""


@final
class Target:
    """Tracks the requests at one target and how many more may start."""

    def __init__(
        self,
        spec: TargetSpec,
        now: Seconds,
        *,
        unclean_handover: bool,
    ) -> None:
        """Take ownership of a target.

        After an ``unclean_handover`` the previous owner did not end its
        session, so its requests may still run. All slots count as used until
        the target announces its load, or until ``PREVIOUS_OWNER_TIMEOUT``.
        """
        self.spec = spec
        self.is_excluded = False
        """Whether an operator took the target or its domain out of service."""
        self.is_moving = False
        """Whether the target is to be released to another owner."""
        self.announce_interval = 1.0
        """Seconds between announcements that the target was asked for."""
        self.reported_in_flight = 0
        """Requests in flight at the time of the newest announcement."""
        self.in_flight: dict[CallId, Seconds] = {}
        """Start times of the requests sent by this owner, oldest first."""
        self.mean_service_time = float(0)
        """Moving mean in seconds; 0 before the first success."""
        self._slow_start = SlowStart(spec.cold_slots, spec.slots)
        self._ended_incarnations: collections.deque[Incarnation] = (
            collections.deque(maxlen=MAX_ENDED_INCARNATIONS)
        )
        """Earlier incarnations, whose announcements may still arrive late."""
        # Assume a cold target until it announces its state: the previous
        # owner may have known it to be cold, and successes alone do not
        # end the cold state.
        self._state = TargetState.cold
        self._announced_at = now
        self._previous_owner_requests = spec.slots if unclean_handover else 0
        self._previous_owner_until = (
            now + PREVIOUS_OWNER_TIMEOUT if unclean_handover else now
        )
        self._paused_until = now
        self.pause = Pause(spread_rank=0)
        """The pause for which the target itself has asked."""
        self._consecutive_errors = 0
        self._ejected_until = now

    @property
    def target(self) -> TargetId:
        """Return the id from the spec."""
        return self.spec.target

    @property
    def is_leaving(self) -> bool:
        """Tell whether the target announced that it is shutting down."""
        return self._state is TargetState.leaving

    def wants_nothing(self, now: Seconds) -> bool:
        """Tell whether the target itself leaves or has asked for a pause."""
        return self.is_leaving or self.pause.is_on(now)

    @property
    def limit(self) -> int:
        """Return how many concurrent requests the target may have now."""
        if self._state is TargetState.cold:
            return self.spec.cold_slots
        return self._slow_start.limit

    def is_available(self, now: Seconds) -> bool:
        """Tell whether new requests may be sent, regardless of free slots."""
        return not (
            self.is_excluded
            or self.is_leaving
            or now < self.pause_ends_at()
            or self.is_stale(now)
        )

    def free_slots(self, now: Seconds) -> int:
        """Return how many more requests may start now."""
        if not self.is_available(now):
            return 0
        occupied = (
            self._previous_owner_requests
            if now < self._previous_owner_until
            else 0
        )
        return max(self.limit - len(self.in_flight) - occupied, 0)

    def pause_ends_at(self) -> Seconds:
        """Return when the pause after a failure, or by request, ends."""
        return Seconds(max(self._paused_until, self.pause.returns_at))

    def apply_announcement(
        self, announcement: Announcement, now: Seconds
    ) -> None:
        """Update spec, state and load from an announcement.

        Announcements of earlier incarnations are ignored: they arrive late
        and do not describe the running process.
        """
        if announcement.spec.incarnation in self._ended_incarnations:
            return
        if announcement.spec.incarnation != self.spec.incarnation:
            self._ended_incarnations.append(self.spec.incarnation)
            self._slow_start = SlowStart(
                announcement.spec.cold_slots,
                announcement.spec.slots,
            )
            self._previous_owner_requests = 0
            self.pause = Pause(spread_rank=0)
            self.mean_service_time = float(0)
        self.spec = announcement.spec
        if announcement.state is TargetState.cold:
            self._slow_start.reset()
        self._state = announcement.state
        self.reported_in_flight = announcement.in_flight
        self._announced_at = now
        self._previous_owner_requests = min(
            self._previous_owner_requests,
            max(announcement.in_flight - len(self.in_flight), 0),
        )

    def is_changed_by(self, announcement: Announcement) -> bool:
        """Tell whether an announcement has another spec or state."""
        known = (self.spec, self._state)
        return known != (announcement.spec, announcement.state)

    def start(self, call: CallId, now: Seconds) -> None:
        """Occupy a slot for a request that is about to be sent."""
        self.in_flight[call] = now

    def end(self, call: CallId, ending: Ending, now: Seconds) -> None:
        """Free the slot of a request and update health and limits.

        A call that does not occupy a slot is ignored. After a refused, shed
        or lost request, or a malformed response, slow start begins again and
        new requests pause for ``REFUSAL_PAUSE`` seconds.
        """
        started = self.in_flight.pop(call, None)
        if started is None:
            return
        if ending is Ending.success:
            self._consecutive_errors = 0
            self._record_service_time(now - started)
        if ending in {Ending.error, Ending.malformed}:
            self._record_error(now)
        if ending in _PAUSING:
            self._slow_start.reset()
            self._paused_until = Seconds(now + REFUSAL_PAUSE)

    def oldest_request_age(self, now: Seconds) -> float:
        """Return the age in seconds of the oldest request in flight, or 0."""
        oldest = next(iter(self.in_flight.values()), now)
        return now - oldest

    def is_stale(self, now: Seconds) -> bool:
        """Tell whether the newest announcement is too old to send requests."""
        return now - self._announced_at > self._stale_after()

    def is_ejected(self, now: Seconds) -> bool:
        """Tell whether other targets are preferred after failures in a row."""
        return now < self._ejected_until

    def is_expired(self, now: Seconds) -> bool:
        """Tell whether no announcement came for so long that it may be removed.

        That is at least twice the time after which it is stale.
        """
        limit = max(EXPIRED_AFTER, 2 * self._stale_after())
        return now - self._announced_at > limit

    def _stale_after(self) -> float:
        """Return the seconds without an announcement that are tolerated."""
        return max(STALE_AFTER, STALE_INTERVALS * self.announce_interval)

    def _record_error(self, now: Seconds) -> None:
        self._consecutive_errors += 1
        excess = self._consecutive_errors - EJECTION_ERRORS
        if excess >= 0:
            duration = min(BASE_EJECTION * 2 ** min(excess, 8), MAX_EJECTION)
            self._ejected_until = Seconds(now + duration)

    def _record_service_time(self, service_time: float) -> None:
        is_cold_start = service_time > max(
            COLD_START_FACTOR * self.mean_service_time, MIN_COLD_START_TIME
        )
        if self.mean_service_time and is_cold_start:
            self._slow_start.reset()
        else:
            self._slow_start.record_success()
        weight = SMOOTHING if self.mean_service_time else 1
        self.mean_service_time += weight * (
            service_time - self.mean_service_time
        )

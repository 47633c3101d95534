"""The service aggregate: assigns queued calls to the owned targets."""

import dataclasses
from collections.abc import Iterator
from typing import final

from turmericmast.ids import CallId, Seconds, ServiceId, TargetId
from turmericmast.service.backlog import Backlog, QueuedCall
from turmericmast.service.budget import RetryBudget
from turmericmast.service.policy import Policy
from turmericmast.target.target import Ending, Target

DEFAULT_SERVICE_TIME = 0.05
"""Seconds assumed for a call to a target without a measured mean."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """The decision to send a call to a target now."""

    call: CallId
    target: TargetId
    address: str


@final
class Service:
    """Assigns queued calls to free slots of the owned targets of a service."""

    def __init__(
        self,
        service: ServiceId,
        policy: Policy,
        queue_limit: int,
        retry_ratio: float,
    ) -> None:
        """Start with no owned targets, an empty queue and a full retry budget.

        ``queue_limit`` is in calls, ``retry_ratio`` in retries per call.
        """
        self.service = service
        self.target_by_id: dict[TargetId, Target] = {}
        self.backlog = Backlog(queue_limit)
        self.budget = RetryBudget(retry_ratio)
        self._policy = policy

    def admit(self, queued_call: QueuedCall, now: Seconds) -> bool:
        """Queue a call; return false when it has to be shed.

        A call is shed when its expected wait exceeds the deadline or when
        the queue has no room for its tenant.
        """
        wait = self.pause_left(now) + self.expected_wait(now)
        in_time = now + wait < queued_call.deadline
        if not in_time or not self.backlog.has_room(queued_call.tenant):
            return False
        self.backlog.push(queued_call)
        if not queued_call.avoid:
            self.budget.deposit()
        return True

    def expected_wait(self, now: Seconds) -> float:
        """Return the estimated seconds in the queue for a call queued now."""
        slots = sum(
            target.limit
            for target in self.target_by_id.values()
            if not target.is_excluded and not target.is_leaving
        )
        if not slots:
            return 0
        times = [
            target.mean_service_time or DEFAULT_SERVICE_TIME
            for target in self.target_by_id.values()
        ]
        mean = sum(times) / len(times)
        return len(self.backlog) * mean / slots

    def pause_left(self, now: Seconds) -> float:
        """Return the seconds until a target wants requests again."""
        pauses = (
            target.pause.time_left(now)
            for target in self.target_by_id.values()
            if not target.is_excluded and not target.is_leaving
        )
        return min(pauses, default=0)

    def hopeless_calls(self, now: Seconds) -> list[CallId]:
        """Return the queued calls whose deadline is within all pauses."""
        pause_left = self.pause_left(now)
        if not pause_left:
            return []
        return self.backlog.calls_due_before(Seconds(now + pause_left))

    def dispatch(self, now: Seconds) -> Iterator[Dispatch]:
        """Yield calls to send until there are no free slots or queued calls."""
        while len(self.backlog):
            candidates = self._candidates(now)
            queued_call = self.backlog.pop() if candidates else None
            if queued_call is None:
                return
            yield self._assign(queued_call, candidates, now)

    def end(
        self,
        call: CallId,
        target: TargetId,
        ending: Ending,
        now: Seconds,
    ) -> None:
        """Free the slot of a call that ended, if the target is still owned."""
        owned = self.target_by_id.get(target)
        if owned:
            owned.end(call, ending, now)

    def accepts_calls(self, now: Seconds) -> bool:
        """Tell whether a target is expected to take calls queued now."""
        return any(
            not target.is_moving
            and not target.is_excluded
            and not target.is_leaving
            and not target.is_stale(now)
            for target in self.target_by_id.values()
        )

    def next_pause_end(self, now: Seconds) -> Seconds | None:
        """Return when the next pause of a target ends, if calls are queued."""
        pauses = (
            target.pause_ends_at() for target in self.target_by_id.values()
        )
        pending = (ends_at for ends_at in pauses if ends_at > now)
        return min(pending, default=None) if len(self.backlog) else None

    @property
    def has_moving(self) -> bool:
        """Tell whether a target is still to be released to another owner."""
        return any(target.is_moving for target in self.target_by_id.values())

    def _candidates(self, now: Seconds) -> list[Target]:
        candidates = [
            target
            for target in self.target_by_id.values()
            if target.free_slots(now) > 0
            or (self._policy.ignores_limits and target.is_available(now))
        ]
        # Ejected targets come last. Targets that move to another owner take
        # calls only when all targets of the service move.
        healthy = [
            target for target in candidates if not target.is_ejected(now)
        ]
        staying = [
            target for target in healthy or candidates if not target.is_moving
        ]
        has_staying = any(
            not target.is_moving for target in self.target_by_id.values()
        )
        return staying if has_staying else healthy or candidates

    def _assign(
        self,
        queued_call: QueuedCall,
        candidates: list[Target],
        now: Seconds,
    ) -> Dispatch:
        others = [
            target
            for target in candidates
            if target.target != queued_call.avoid
        ]
        chosen = self._policy.choose(others or candidates, now)
        chosen.start(queued_call.call, now)
        return Dispatch(queued_call.call, chosen.target, chosen.spec.address)

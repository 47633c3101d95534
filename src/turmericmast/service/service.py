"""The service aggregate: owned targets, the queue, and who goes where."""

import dataclasses
from collections.abc import Iterator
from typing import final

from turmericmast.ids import CallId, Seconds, ServiceId, TargetId
from turmericmast.service.backlog import Backlog, QueuedCall
from turmericmast.service.budget import RetryBudget
from turmericmast.service.policy import Policy
from turmericmast.target.target import Ending, Target

DEFAULT_SERVICE_TIME = 0.05
"""Seconds assumed for a call before any was measured."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """A decision: this call goes to this target now."""

    call: CallId
    target: TargetId
    address: str


@final
class Service:
    """Matches waiting calls with free slots of owned targets."""

    def __init__(
        self,
        service: ServiceId,
        policy: Policy,
        queue_limit: int,
        retry_ratio: float,
    ) -> None:
        """Start without targets."""
        self.service = service
        self.target_by_id: dict[TargetId, Target] = {}
        self.backlog = Backlog(queue_limit)
        self.budget = RetryBudget(retry_ratio)
        self._policy = policy

    def admit(self, waiting: QueuedCall, now: Seconds) -> bool:
        """Queue a call, unless it could not be answered in time."""
        wait = self.expected_wait(now)
        in_time = now + wait < waiting.deadline
        if not in_time or not self.backlog.has_room(waiting.tenant):
            return False
        self.backlog.push(waiting)
        if not waiting.avoid:
            self.budget.deposit()
        return True

    def expected_wait(self, now: Seconds) -> float:
        """Return the seconds until a call queued now would be sent."""
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

    def dispatch(self, now: Seconds) -> Iterator[Dispatch]:
        """Yield calls to be sent until slots or calls run out."""
        while len(self.backlog):
            free = self._free(now)
            waiting = self.backlog.pop() if free else None
            if waiting is None:
                return
            yield self._place(waiting, free, now)

    def end(
        self,
        call: CallId,
        target: TargetId,
        ending: Ending,
        now: Seconds,
    ) -> None:
        """Free the slot of a call."""
        owned = self.target_by_id.get(target)
        if owned:
            owned.end(call, ending, now)

    def accepts_calls(self, now: Seconds) -> bool:
        """Tell whether new calls should wait here at all."""
        return any(
            not target.is_moving
            and not target.is_excluded
            and not target.is_leaving
            and not target.is_stale(now)
            for target in self.target_by_id.values()
        )

    def next_pause_end(self, now: Seconds) -> Seconds | None:
        """Return when a pause of a target ends, if calls wait for that."""
        pauses = (one.pause_ends_at() for one in self.target_by_id.values())
        coming = (opens for opens in pauses if opens > now)
        return min(coming, default=None) if len(self.backlog) else None

    @property
    def has_moving(self) -> bool:
        """Tell whether a target is still to be released."""
        return any(one.is_moving for one in self.target_by_id.values())

    def _free(self, now: Seconds) -> list[Target]:
        free = [
            target
            for target in self.target_by_id.values()
            if target.free_slots(now) > 0
            or (self._policy.ignores_limits and target.is_available(now))
        ]
        # Targets that fail or move to another owner are the last resort.
        healthy = [one for one in free if not one.is_ejected(now)]
        staying = [one for one in healthy or free if not one.is_moving]
        has_staying = any(
            not one.is_moving for one in self.target_by_id.values()
        )
        return staying if has_staying else healthy or free

    def _place(
        self,
        waiting: QueuedCall,
        free: list[Target],
        now: Seconds,
    ) -> Dispatch:
        others = [one for one in free if one.target != waiting.avoid]
        chosen = self._policy.choose(others or free, now)
        chosen.start(waiting.call, now)
        return Dispatch(waiting.call, chosen.target, chosen.spec.address)

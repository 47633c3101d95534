"""Whether one instance reaches the targets by itself."""

from collections.abc import Collection, Iterable
from typing import final

from turmericmast.balance.targetview import TargetView
from turmericmast.cluster.records import TargetPhase, TargetReach
from turmericmast.ids import DomainId, Seconds

MIN_LOST_PATHS = 3
"""Fewest lost paths that cast doubt on the links.

Where there are fewer targets, all of them."""
HOLD_TIME = 1.0
"""Least time in seconds between two changes of the reported state.

Each change is committed by the core and sent to all instances."""


def is_cut_off(
    views: Iterable[TargetView],
    now: Seconds,
    evacuated: Collection[DomainId] = (),
) -> bool:
    """Tell whether the links of this instance to the targets seem to be lost.

    Single targets are lost when they crash. Several of them at once, and more
    than have just answered, rather point to the links. In a large fleet an
    instance tries few of its targets, so the others say nothing. Nor do those
    in ``evacuated`` domains, to which nothing is sent.
    """
    in_use = [
        view
        for view in views
        if view.record.phase is TargetPhase.ready
        and view.record.domain not in evacuated
        and not view.departure.has_begun
    ]
    lost = sum(view.path.is_lost for view in in_use)
    reached = sum(view.path.is_confirmed(now) for view in in_use)
    return lost > reached and lost >= min(MIN_LOST_PATHS, len(in_use))


@final
class ReachReport:
    """What an instance reports of its reach: follows it with a delay."""

    def __init__(self) -> None:
        """Begin with all targets in reach."""
        self.state = TargetReach.direct
        self._changed_at: float | None = None

    def update(self, now: Seconds, *, cut_off: bool) -> bool:
        """Follow the present state; return whether the report changes."""
        state = TargetReach.forwarded if cut_off else TargetReach.direct
        if state is self.state:
            return False
        if self._changed_at is not None and now - self._changed_at < HOLD_TIME:
            return False
        self.state = state
        self._changed_at = now
        return True

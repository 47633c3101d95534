"""Whether one instance reaches the targets by itself."""

from collections.abc import Collection, Iterable
from typing import final

from turmericmast.balance.targetview import TargetView
from turmericmast.cluster.records import TargetPhase, TargetReach
from turmericmast.ids import DomainId, Seconds

HOLD_TIME = 1.0
"""Least time in seconds between two changes of the reported state.

Each change is committed by the core and sent to all instances."""


def is_cut_off(
    views: Iterable[TargetView], evacuated: Collection[DomainId] = ()
) -> bool:
    """Tell whether the paths to most of the targets that serve are lost.

    Single targets are lost when they crash. Most of them at once rather points
    to the links of this instance. Nothing is sent to those in ``evacuated``
    domains, so that their paths are not known.
    """
    paths = [
        view.is_path_lost
        for view in views
        if view.record.phase is TargetPhase.ready
        and view.record.domain not in evacuated
        and not view.departure.has_begun
    ]
    return 2 * sum(paths) > len(paths)


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

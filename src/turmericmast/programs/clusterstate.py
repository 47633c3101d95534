"""The cluster aggregate behind the replicated log."""

import asyncio
import contextlib
from typing import Any, final

from turmericmast.cluster.cluster import Cluster
from turmericmast.ids import Index
from turmericmast.programs.groupmember import StateMachine


@final
class ClusterStateMachine(StateMachine):
    """Applies commands, and wakes those who wait for news."""

    def __init__(self) -> None:
        """Start from an empty cluster."""
        self.cluster = Cluster()
        self._next_change: asyncio.Future[None] = asyncio.Future()

    def apply(self, index: Index, command: Any) -> Any:
        """Apply one command."""
        answer = self.cluster.apply(index, command)
        if answer.value_or(False):
            self._notify_waiters()
        return answer

    def snapshot(self) -> Any:
        """Return the whole cluster."""
        return self.cluster.snapshot()

    def restore(self, state: Any) -> None:
        """Replace the whole cluster."""
        self.cluster.restore(state)
        self._notify_waiters()

    async def wait_for_change(self, known: Index, timeout: float) -> None:
        """Return when something changed after an index, or in time."""
        if self.cluster.index <= known:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    asyncio.shield(self._next_change), timeout
                )

    def _notify_waiters(self) -> None:
        self._next_change.set_result(None)
        self._next_change = asyncio.Future()

"""The cluster aggregate as a replicated state machine."""

import asyncio
import contextlib
from typing import Any, final

from turmericmast.cluster.cluster import Cluster
from turmericmast.ids import Index
from turmericmast.programs.groupmember import StateMachine


@final
class ClusterStateMachine(StateMachine):
    """Applies commands to the cluster, and wakes watchers after changes."""

    def __init__(self) -> None:
        """Begin with an empty cluster."""
        self.cluster = Cluster()
        self._next_change: asyncio.Future[None] = asyncio.Future()

    def apply(self, index: Index, command: Any) -> Any:
        """Apply a command; return whether it made a change, or an error."""
        answer = self.cluster.apply(index, command)
        if answer.value_or(False):
            self._notify_waiters()
        return answer

    def snapshot(self) -> Any:
        """Return a copy of the cluster's whole state."""
        return self.cluster.snapshot()

    def restore(self, state: Any) -> None:
        """Replace the cluster's whole state, and wake watchers."""
        self.cluster.restore(state)
        self._notify_waiters()

    async def wait_for_change(self, known_index: Index, timeout: float) -> None:
        """Wait until the cluster is newer than an index.

        Returns after ``timeout`` seconds at the latest, without an error.
        """
        if self.cluster.index <= known_index:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    asyncio.shield(self._next_change), timeout
                )

    def _notify_waiters(self) -> None:
        self._next_change.set_result(None)
        self._next_change = asyncio.Future()

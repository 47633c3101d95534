"""The cluster aggregate as a replicated state machine."""

import asyncio
import contextlib
import math
from typing import Any, final

from turmericmast.cluster.cluster import Cluster
from turmericmast.ids import Index
from turmericmast.programs.groupmember import StateMachine
from turmericmast.web.fleetpages import Page, core_pages
from turmericmast.wire.feedpacking import pack_feed

MERGE_INTERVAL = 0.05
"""Shortest time in seconds between two wake-ups of watchers.

Changes in between are sent as one feed. While hundreds of instances start, a
watcher gets a few feeds instead of one for each of them."""


@final
class ClusterStateMachine(StateMachine):
    """Applies commands to the cluster, and wakes watchers after changes."""

    def __init__(self) -> None:
        """Begin with an empty cluster."""
        self.cluster = Cluster()
        self._next_change: asyncio.Future[None] = asyncio.Future()
        self._woken_at = -math.inf
        self._wake_timer: asyncio.TimerHandle | None = None
        """Set while a change waits to be sent with later ones."""
        self._packed_by_known: dict[Index, bytes] = {}
        """Feeds of the current index, by the index that their readers know."""

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

    def pages(self) -> tuple[Page, ...]:
        """Return the pages that show operators the cluster."""
        return core_pages(self.cluster)

    async def wait_for_change(self, known_index: Index, timeout: float) -> None:
        """Wait until the cluster is newer than an index.

        Returns after ``timeout`` seconds at the latest, without an error.
        """
        if self._wake_timer or self.cluster.index <= known_index:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    asyncio.shield(self._next_change), timeout
                )

    def packed_feed(self, known: Index) -> bytes:
        """Return the changes since an index, packed once for all readers."""
        packed = self._packed_by_known.get(known)
        if packed is None:
            packed = pack_feed(self.cluster.build_feed(known))
            self._packed_by_known[known] = packed
        return packed

    def _notify_waiters(self) -> None:
        """Wake the watchers now, or later if they have just been woken."""
        self._packed_by_known.clear()
        if self._wake_timer:
            return
        loop = self._next_change.get_loop()
        delay = self._woken_at + MERGE_INTERVAL - loop.time()
        if delay > 0:
            self._wake_timer = loop.call_later(delay, self._wake)
        else:
            self._wake()

    def _wake(self) -> None:
        self._wake_timer = None
        self._woken_at = self._next_change.get_loop().time()
        self._next_change.set_result(None)
        self._next_change = asyncio.Future()

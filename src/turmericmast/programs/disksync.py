"""Syncs of a replica's store, with events for a disk that refuses them."""

from typing import final

from turmericmast.events import EventLog
from turmericmast.exceptions import DiskError
from turmericmast.metrics import Metrics
from turmericmast.replica.store import Store


@final
class DiskSync:
    """Syncs a store, and tells once that its disk is full or works again."""

    def __init__(
        self, store: Store, metrics: Metrics, events: EventLog
    ) -> None:
        """Sync ``store``, whose disk is taken to work at first."""
        self._store = store
        self._metrics = metrics
        self._events = events
        self._is_refused = False

    def run(self) -> bool:
        """Sync; return whether the disk accepted all changes.

        The store keeps what was refused, for the next sync.
        """
        try:
            self._store.sync()
        except DiskError as error:
            self._metrics.count('disk_refusals')
            self._log('disk_refuses', error.show(), is_refused=True)
            return False
        self._log('disk_accepts', '', is_refused=False)
        return True

    def _log(self, event: str, error: str, *, is_refused: bool) -> None:
        if is_refused is not self._is_refused:
            self._is_refused = is_refused
            self._events.write(event, error=error)

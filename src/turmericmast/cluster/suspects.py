"""Requests whose targets crashed while they ran them."""

from collections.abc import Iterable
from typing import final

from turmericmast.cluster.changes import ChangeTable
from turmericmast.cluster.commands import ReportCrash
from turmericmast.cluster.records import SuspectRecord
from turmericmast.ids import Fingerprint, Index, Millis

MAX_SUSPECTS = 256
"""Requests remembered; the one that was reported first is forgotten."""
MEMORY_MS = 60_000
"""Milliseconds from its last crash for which a request stays suspect."""


@final
class SuspectBook:
    """Counts crashes by request, over all instances."""

    def __init__(self) -> None:
        """Start without suspects."""
        self.table: ChangeTable[Fingerprint, SuspectRecord] = ChangeTable()

    def restore(self, records: Iterable[SuspectRecord], index: Index) -> None:
        """Take records as they are."""
        self.table.restore({one.fingerprint: one for one in records}, index)

    def report(self, crash: ReportCrash, index: Index) -> bool:
        """Count a crash; tell that this changed something."""
        table = self.table
        known = table.record_by_key.get(crash.fingerprint)
        is_fresh = known is not None and crash.at_ms < known.until_ms
        crashes = known.crashes if known and is_fresh else 0
        table.set(
            crash.fingerprint,
            SuspectRecord(
                crash.fingerprint,
                crashes + 1,
                Millis(crash.at_ms + MEMORY_MS),
            ),
            index,
        )
        if len(table.record_by_key) > MAX_SUSPECTS:
            table.remove(next(iter(table.record_by_key)), index)
        return True

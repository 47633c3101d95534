"""Requests on which targets crashed."""

from collections.abc import Iterable
from typing import final

from turmericmast.cluster.changetable import ChangeTable
from turmericmast.cluster.crashes import ReportCrash, SuspectRecord
from turmericmast.ids import Fingerprint, Index, Millis

MAX_SUSPECTS = 256
"""Requests that are kept; beyond, the one that was added first is dropped."""
SUSPECT_TTL_MS = 60_000
"""Milliseconds from its last crash for which a request stays suspect."""


@final
class SuspectRegistry:
    """Counts crashes by request, as reported by all instances."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self.table: ChangeTable[Fingerprint, SuspectRecord] = ChangeTable()

    def restore(self, records: Iterable[SuspectRecord], index: Index) -> None:
        """Replace all records by those of a snapshot."""
        self.table.restore(
            {record.fingerprint: record for record in records}, index
        )

    def report(self, crash: ReportCrash, index: Index) -> bool:
        """Count a crash; always return that the state changed.

        A crash after the record of its request has expired counts as the
        first one.
        """
        table = self.table
        known = table.record_by_key.get(crash.fingerprint)
        is_active = known is not None and crash.at_ms < known.until_ms
        crashes = known.crashes if known and is_active else 0
        table.set(
            crash.fingerprint,
            SuspectRecord(
                crash.fingerprint,
                crashes + 1,
                Millis(crash.at_ms + SUSPECT_TTL_MS),
            ),
            index,
        )
        if len(table.record_by_key) > MAX_SUSPECTS:
            table.remove(next(iter(table.record_by_key)), index)
        return True

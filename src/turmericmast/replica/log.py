"""In-memory part of the replicated log."""

import bisect
from collections.abc import Sequence
from typing import final

from turmericmast.ids import Index, Term
from turmericmast.replica.messages import (
    Entry,
    EntryKind,
    Snapshot,
)
from turmericmast.replica.seat import Seat

RETAINED_ENTRIES = 1024
"""Most entries retained before the index of a snapshot.

Members that lag by less are sent entries instead of the snapshot."""


@final
class Log:
    """The latest snapshot, the entries after it, and some before it."""

    def __init__(
        self,
        snapshot: Snapshot | None,
        entries: Sequence[Entry],
    ) -> None:
        """Start with the snapshot and the entries that the store recovered."""
        self.snapshot = snapshot
        self._entries = list(entries)
        self._offset = self.snapshot_index
        """The index before the first retained entry."""
        self._membership_entries = _membership_entries(entries)

    @property
    def snapshot_index(self) -> Index:
        """Return the last index that the snapshot covers, 0 without one."""
        return self.snapshot.index if self.snapshot else Index(0)

    @property
    def last_index(self) -> Index:
        """Return the index of the last entry."""
        return Index(self._offset + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry."""
        return self.term_at(self.last_index) or Term(0)

    @property
    def is_empty(self) -> bool:
        """Tell whether there is neither a snapshot nor an entry."""
        return self.snapshot is None and not self._entries

    def term_at(self, index: int) -> Term | None:
        """Return the term at ``index``, or ``None`` if it is not in the log."""
        if index == self.snapshot_index:
            return self.snapshot.term if self.snapshot else Term(0)
        if self._offset < index <= self.last_index:
            return self._entries[index - self._offset - 1].term
        return None

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last`` inclusive."""
        start = max(first - self._offset - 1, 0)
        return self._entries[start : max(last - self._offset, 0)]

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries after the last one."""
        self._entries.extend(entries)
        self._membership_entries.extend(_membership_entries(entries))

    def truncate(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        self._entries = self._entries[: index - self._offset - 1]
        self._membership_entries = [
            entry for entry in self._membership_entries if entry.index < index
        ]

    def compact(self, snapshot: Snapshot) -> list[Entry]:
        """Adopt a snapshot, and return the entries that remain after it.

        All entries are dropped if the log disagrees with the snapshot.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            offset = max(self._offset, snapshot.index - RETAINED_ENTRIES)
            self._entries = self._entries[offset - self._offset :]
        else:
            offset = snapshot.index
            self._entries = []
        self._offset = Index(offset)
        self.snapshot = snapshot
        tail = self.between(snapshot.index + 1, self.last_index)
        self._membership_entries = _membership_entries(tail)
        return tail

    def seats_at(self, index: int) -> tuple[Seat, ...]:
        """Return the latest membership at or before ``index``."""
        count = bisect.bisect_right(
            self._membership_entries,
            index,
            key=lambda entry: entry.index,
        )
        if count:
            return self._membership_entries[count - 1].seats
        return self.snapshot.seats if self.snapshot else ()


def _membership_entries(entries: Sequence[Entry]) -> list[Entry]:
    return [entry for entry in entries if entry.kind is EntryKind.membership]

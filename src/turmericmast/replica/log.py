"""The part of the replicated log that is kept in memory."""

from collections.abc import Sequence
from typing import final

from turmericmast.ids import Index, Term
from turmericmast.replica.messages import Entry, EntryKind, Seat, Snapshot


@final
class Log:
    """Entries behind a base, which is the position of the last snapshot."""

    def __init__(
        self,
        snapshot: Snapshot | None,
        entries: Sequence[Entry],
    ) -> None:
        """Start from what the store recovered."""
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def base(self) -> Index:
        """Return the index of the snapshot, 0 without one."""
        return self.snapshot.index if self.snapshot else Index(0)

    @property
    def last_index(self) -> Index:
        """Return the index of the last entry."""
        return Index(self.base + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry."""
        return self.term_at(self.last_index) or Term(0)

    @property
    def is_empty(self) -> bool:
        """Tell whether there is neither a snapshot nor an entry."""
        return self.snapshot is None and not self._entries

    def term_at(self, index: int) -> Term | None:
        """Return the term at ``index``, ``None`` where it is not known."""
        if index == self.base:
            return self.snapshot.term if self.snapshot else Term(0)
        if self.base < index <= self.last_index:
            return self._entries[index - self.base - 1].term
        return None

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last`` inclusive."""
        start = max(first - self.base - 1, 0)
        return self._entries[start : max(last - self.base, 0)]

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries behind the last one."""
        self._entries.extend(entries)

    def truncate(self, index: int) -> None:
        """Drop the entry at ``index`` and all behind it."""
        self._entries = self._entries[: index - self.base - 1]

    def compact(self, snapshot: Snapshot) -> list[Entry]:
        """Take a snapshot of a prefix and return the entries kept."""
        keeps_tail = self.term_at(snapshot.index) == snapshot.term
        tail = (
            self.between(snapshot.index + 1, self.last_index)
            if keeps_tail
            else []
        )
        self.snapshot = snapshot
        self._entries = list(tail)
        return tail

    def seats(self, until: int) -> tuple[Seat, ...]:
        """Return the newest membership at or before ``until``."""
        changes = (
            entry.seats
            for entry in reversed(self.between(self.base + 1, until))
            if entry.kind is EntryKind.membership
        )
        start = self.snapshot.seats if self.snapshot else ()
        return next(changes, start)

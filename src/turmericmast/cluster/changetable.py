"""A table that can list its changes since an index of the log."""

import collections
from collections.abc import Hashable, Iterable, Iterator, Mapping
from typing import Generic, TypeVar, final

from turmericmast.ids import Index

MAX_REMOVALS = 1024
"""Removals that are kept; readers further behind get a complete feed."""

Key = TypeVar('Key', bound=Hashable)
Record = TypeVar('Record')


@final
class ChangeTable(Generic[Key, Record]):
    """Records by key, each with the index of its last change."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.record_by_key: dict[Key, Record] = {}
        self._index_by_key: dict[Key, Index] = {}
        self._removals: collections.deque[tuple[Index, Key]] = (
            collections.deque(maxlen=MAX_REMOVALS)
        )
        self.complete_since = Index(0)
        """Lowest index since which all changes can be listed."""

    def restore(self, records: Mapping[Key, Record], index: Index) -> None:
        """Replace all records; earlier changes can no longer be listed."""
        self.record_by_key = dict(records)
        self._index_by_key = dict.fromkeys(records, index)
        self._removals.clear()
        self.complete_since = index

    def set(self, key: Key, record: Record, index: Index) -> None:
        """Add or replace the record of a key."""
        self.record_by_key[key] = record
        self._index_by_key[key] = index

    def remove(self, key: Key, index: Index) -> bool:
        """Remove the record of a key; return whether there was one."""
        if self.record_by_key.pop(key, None) is None:
            return False
        self._index_by_key.pop(key)
        if len(self._removals) == MAX_REMOVALS:
            self.complete_since = self._removals[0][0]
        self._removals.append((index, key))
        return True

    def changed(self, known: Index) -> Iterator[Record]:
        """Yield the records that were added or replaced after an index."""
        for key, index in self._index_by_key.items():
            if index > known:
                yield self.record_by_key[key]

    def removed(self, known: Index) -> Iterable[Key]:
        """Return the keys removed after an index and not added again."""
        removed_keys = (key for index, key in self._removals if index > known)
        return [
            key
            for key in dict.fromkeys(removed_keys)
            if key not in self.record_by_key
        ]

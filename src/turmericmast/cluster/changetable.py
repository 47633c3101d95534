"""A table that can tell what changed in it after an index."""

import collections
from collections.abc import Hashable, Iterable, Iterator, Mapping
from typing import Generic, TypeVar, final

from turmericmast.ids import Index

MAX_REMOVALS = 1024
"""Removals remembered; a reader that is further behind gets everything."""

Key = TypeVar('Key', bound=Hashable)
Record = TypeVar('Record')


@final
class ChangeTable(Generic[Key, Record]):
    """Records by key, with the index at which each one changed last."""

    def __init__(self) -> None:
        """Start empty."""
        self.record_by_key: dict[Key, Record] = {}
        self._index_by_key: dict[Key, Index] = {}
        self._removals: collections.deque[tuple[Index, Key]] = (
            collections.deque(maxlen=MAX_REMOVALS)
        )
        self.complete_since = Index(0)
        """Readers that know this index or a later one can get changes."""

    def restore(self, records: Mapping[Key, Record], index: Index) -> None:
        """Replace everything; earlier changes are not known any more."""
        self.record_by_key = dict(records)
        self._index_by_key = dict.fromkeys(records, index)
        self._removals.clear()
        self.complete_since = index

    def set(self, key: Key, record: Record, index: Index) -> None:
        """Add or replace a record."""
        self.record_by_key[key] = record
        self._index_by_key[key] = index

    def remove(self, key: Key, index: Index) -> bool:
        """Remove a record; tell whether there was one."""
        if self.record_by_key.pop(key, None) is None:
            return False
        self._index_by_key.pop(key)
        if len(self._removals) == MAX_REMOVALS:
            self.complete_since = self._removals[0][0]
        self._removals.append((index, key))
        return True

    def changed(self, known: Index) -> Iterator[Record]:
        """Yield the records that changed after an index."""
        for key, index in self._index_by_key.items():
            if index > known:
                yield self.record_by_key[key]

    def removed(self, known: Index) -> Iterable[Key]:
        """Return the keys removed after an index and not added again."""
        gone = (key for index, key in self._removals if index > known)
        return [
            key for key in dict.fromkeys(gone) if key not in self.record_by_key
        ]

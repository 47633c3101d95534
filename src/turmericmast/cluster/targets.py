"""The registry of targets, by what they say of themselves."""

from collections.abc import Iterable
from typing import final

from turmericmast.cluster.changes import ChangeTable
from turmericmast.cluster.records import TargetRecord, Tombstone
from turmericmast.ids import Born, Index, TargetId

MAX_TOMBSTONES = 4096
"""Starts that have ended, known so that late reports change nothing."""


@final
class TargetRegistry:
    """One record for each running target; one target for each address."""

    def __init__(self) -> None:
        """Start without targets."""
        self.table: ChangeTable[TargetId, TargetRecord] = ChangeTable()
        self.born_by_gone: dict[TargetId, Born] = {}
        self._target_by_address: dict[str, TargetId] = {}

    def restore(
        self,
        records: Iterable[TargetRecord],
        tombstones: Iterable[Tombstone],
        index: Index,
    ) -> None:
        """Take records as they are."""
        by_target = {record.target: record for record in records}
        self.table.restore(by_target, index)
        self.born_by_gone = {one.target: one.born for one in tombstones}
        self._target_by_address = {
            record.address: name for name, record in by_target.items()
        }

    @property
    def targets(self) -> tuple[TargetId, ...]:
        """Return the known targets."""
        return tuple(self.table.record_by_key)

    def is_news(self, record: TargetRecord) -> bool:
        """Tell whether a report changes the registry."""
        if record.born <= self.born_by_gone.get(record.target, Born(0)):
            return False
        known = self.table.record_by_key.get(record.target)
        if known and not record.is_news_to(known):
            return False
        holder = self._holder(record)
        return holder is None or holder.born < record.born

    def report(self, record: TargetRecord, index: Index) -> bool:
        """Take a report; tell whether it changed anything."""
        if not self.is_news(record):
            return False
        holder = self._holder(record)
        if holder:
            # Its address belongs to a later start now.
            self.remove(holder.target, index)
        known = self.table.record_by_key.get(record.target)
        if known:
            self._target_by_address.pop(known.address, None)
        self.table.set(record.target, record, index)
        self._target_by_address[record.address] = record.target
        return True

    def remove(self, target: TargetId, index: Index) -> bool:
        """Remove a target; tell whether it was known."""
        record = self.table.record_by_key.get(target)
        if record is None:
            return False
        self.table.remove(target, index)
        self._target_by_address.pop(record.address, None)
        self.born_by_gone.pop(target, None)
        self.born_by_gone[target] = record.born
        if len(self.born_by_gone) > MAX_TOMBSTONES:
            self.born_by_gone.pop(next(iter(self.born_by_gone)))
        return True

    def _holder(self, record: TargetRecord) -> TargetRecord | None:
        """Return another target that is known at the same address."""
        name = self._target_by_address.get(record.address)
        if name is None or name == record.target:
            return None
        return self.table.record_by_key[name]

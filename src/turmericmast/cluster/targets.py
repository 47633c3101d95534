"""The registry of targets, built from their own reports."""

from collections.abc import Iterable
from typing import final

from turmericmast.cluster.changetable import ChangeTable
from turmericmast.cluster.records import TargetRecord, Tombstone
from turmericmast.ids import Born, Index, TargetId

MAX_TOMBSTONES = 4096
"""Removed targets that are kept, so that delayed reports are ignored."""


@final
class TargetRegistry:
    """One record for each target, and one target for each address."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self.table: ChangeTable[TargetId, TargetRecord] = ChangeTable()
        self.born_by_removed_target: dict[TargetId, Born] = {}
        """Last known start of each removed target."""
        self._target_by_address: dict[str, TargetId] = {}
        self._start_index_by_target: dict[TargetId, Index] = {}

    def restore(
        self,
        records: Iterable[TargetRecord],
        tombstones: Iterable[Tombstone],
        index: Index,
    ) -> None:
        """Replace all records by those of a snapshot."""
        by_target = {record.target: record for record in records}
        self.table.restore(by_target, index)
        self.born_by_removed_target = {
            tombstone.target: tombstone.born for tombstone in tombstones
        }
        self._target_by_address = {
            record.address: target for target, record in by_target.items()
        }
        self._start_index_by_target = dict.fromkeys(by_target, index)

    @property
    def targets(self) -> tuple[TargetId, ...]:
        """Return the ids of all targets."""
        return tuple(self.table.record_by_key)

    def started_at(self, target: TargetId) -> Index:
        """Return the index of the first report since its start.

        That is 0 if the target is unknown, and the index of the snapshot if
        the report was part of one.
        """
        return self._start_index_by_target.get(target, Index(0))

    def would_change(self, record: TargetRecord) -> bool:
        """Tell whether a report would change the registry."""
        if record.born <= self.born_by_removed_target.get(
            record.target, Born(0)
        ):
            return False
        known = self.table.record_by_key.get(record.target)
        if known and not record.supersedes(known):
            return False
        address_owner = self._find_address_owner(record)
        return address_owner is None or address_owner.born < record.born

    def report(self, record: TargetRecord, index: Index) -> bool:
        """Apply a report; return whether it changed the registry."""
        if not self.would_change(record):
            return False
        address_owner = self._find_address_owner(record)
        if address_owner:
            # A target that started later has taken over its address.
            self.remove(address_owner.target, index)
        known = self.table.record_by_key.get(record.target)
        if known:
            self._target_by_address.pop(known.address, None)
        if known is None or known.born != record.born:
            self._start_index_by_target[record.target] = index
        self.table.set(record.target, record, index)
        self._target_by_address[record.address] = record.target
        return True

    def remove(self, target: TargetId, index: Index) -> bool:
        """Remove a target; return whether it was known."""
        record = self.table.record_by_key.get(target)
        if record is None:
            return False
        self.table.remove(target, index)
        self._target_by_address.pop(record.address, None)
        self._start_index_by_target.pop(target, None)
        self.born_by_removed_target.pop(target, None)
        self.born_by_removed_target[target] = record.born
        if len(self.born_by_removed_target) > MAX_TOMBSTONES:
            self.born_by_removed_target.pop(
                next(iter(self.born_by_removed_target))
            )
        return True

    def _find_address_owner(self, record: TargetRecord) -> TargetRecord | None:
        """Return the other target with the same address, if there is one."""
        target = self._target_by_address.get(record.address)
        if target is None or target == record.target:
            return None
        return self.table.record_by_key[target]

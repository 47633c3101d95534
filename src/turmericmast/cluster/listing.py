"""Lists of instances and targets for operators: filtered and bounded."""

import dataclasses
from collections.abc import Iterable
from typing import Generic, TypeVar, final

from turmericmast.cluster.records import EdgeRecord, TargetRecord
from turmericmast.ids import DomainId, ServiceId

DEFAULT_LIMIT = 50
"""Records in a list unless the operator asks for another number."""
MAX_LIMIT = 1000
"""Most records in a list."""

Record = TypeVar('Record', EdgeRecord, TargetRecord)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ListFilter:
    """What an operator wants to see; an empty field selects everything."""

    domain: DomainId = DomainId('')
    service: ServiceId = ServiceId('')
    """Only for targets: instances serve all services."""
    phase: str = ''
    limit: int = DEFAULT_LIMIT

    def selects_edge(self, record: EdgeRecord) -> bool:
        """Tell whether an instance belongs in the list."""
        return self._selects(record) and not self.service

    def selects_target(self, record: TargetRecord) -> bool:
        """Tell whether a target belongs in the list."""
        return self._selects(record) and self.service in {'', record.service}

    def _selects(self, record: EdgeRecord | TargetRecord) -> bool:
        return self.domain in {'', record.domain} and (
            self.phase in {'', record.phase.value}
        )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Listing(Generic[Record]):
    """The first records that a filter selects, and how many there are."""

    records: tuple[Record, ...]
    selected: int

    @property
    def left_out(self) -> int:
        """Return the number of selected records that the list leaves out."""
        return self.selected - len(self.records)


def list_edges(
    edges: Iterable[EdgeRecord], wanted: ListFilter
) -> Listing[EdgeRecord]:
    """Return instances by name."""
    selected = sorted(
        filter(wanted.selects_edge, edges), key=lambda edge: edge.instance
    )
    return Listing(tuple(selected[: wanted.limit]), len(selected))


def list_targets(
    targets: Iterable[TargetRecord], wanted: ListFilter
) -> Listing[TargetRecord]:
    """Return targets by name."""
    selected = sorted(
        filter(wanted.selects_target, targets), key=lambda target: target.target
    )
    return Listing(tuple(selected[: wanted.limit]), len(selected))

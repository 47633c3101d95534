"""The rollouts of all services, which commands change in the log's order."""

import dataclasses
from collections.abc import Collection, Iterable
from typing import final

from returns.result import Failure, Result, Success

from turmericmast.cluster.changetable import ChangeTable
from turmericmast.cluster.commands import (
    DecideRollout,
    OrderRollout,
    RolloutCommand,
)
from turmericmast.cluster.records import TargetPhase, TargetRecord
from turmericmast.exceptions import ConflictError, TurmericmastError
from turmericmast.ids import Index, Millis, ServiceId, TargetVersion
from turmericmast.rollout.records import (
    FULL_SHARE,
    MAX_REJECTED,
    RolloutState,
    ServiceRollout,
)


@final
class Rollouts:
    """The current version and the newest rollout of each service.

    Every member applies the same entries and so reaches the same state. What
    is decided by evidence or by time is decided before an entry is appended.
    """

    def __init__(self) -> None:
        """Begin without any version."""
        self.table: ChangeTable[ServiceId, ServiceRollout] = ChangeTable()

    def restore(self, records: Iterable[ServiceRollout], index: Index) -> None:
        """Replace all records by those of a snapshot."""
        self.table.restore(
            {record.service: record for record in records}, index
        )

    def find(self, service: ServiceId) -> ServiceRollout:
        """Return the record of a service; an empty one if none is known."""
        known = self.table.record_by_key.get(service)
        return known or ServiceRollout(service)

    def running(self) -> tuple[ServiceRollout, ...]:
        """Return the rollouts that are not decided yet."""
        return tuple(
            record
            for record in self.table.record_by_key.values()
            if record.is_running
        )

    def is_accepted(self, order: OrderRollout) -> bool:
        """Tell whether this order was accepted before, also if it ended."""
        known = self.find(order.service)
        return bool(known.order) and (
            known.target_version == order.target_version
        )

    def change(
        self, command: RolloutCommand, index: Index
    ) -> Result[bool, TurmericmastError]:
        """Apply a command; return whether it changed the state."""
        if isinstance(command, OrderRollout):
            return self.order(command, index)
        return Success(self.decide(command, index))

    def order(
        self, order: OrderRollout, index: Index
    ) -> Result[bool, TurmericmastError]:
        """Begin a rollout; return whether it is a new one.

        Fails while another version of the service is being rolled out. The
        version that is current is completed at once.
        """
        if self.is_accepted(order):
            return Success(False)
        known = self.find(order.service)
        if known.is_running:
            return Failure(_conflict(known, order))
        is_current = order.target_version == known.current
        self.table.set(
            order.service,
            dataclasses.replace(
                known,
                state=RolloutState.completed
                if is_current
                else RolloutState.running,
                target_version=order.target_version,
                order=index,
                duration_ms=order.duration_ms,
                share=FULL_SHARE if is_current else 0,
                elapsed_ms=Millis(0),
                reason='the version is current' if is_current else '',
            ),
            index,
        )
        return Success(True)

    def decide(self, decision: DecideRollout, index: Index) -> bool:
        """Apply a decision about a running rollout; return if it changed it.

        A decision about another rollout, and one from before the last one, is
        ignored: two leaders may have decided, one after the other.
        """
        known = self.find(decision.service)
        is_next = decision.state is not RolloutState.running or (
            (decision.share, decision.elapsed_ms)
            > (known.share, known.elapsed_ms)
        )
        is_due = known.is_running and known.order == decision.order
        if not is_due or not is_next:
            return False
        self.table.set(decision.service, _decided(known, decision), index)
        return True

    def adopt(
        self,
        changed: TargetRecord,
        records: Collection[TargetRecord],
        index: Index,
    ) -> None:
        """Choose a current version after a target has changed or left.

        The first version that is told becomes current. Outside of a rollout,
        a version without a ready target is replaced by that of the ready
        target that started first, so that replacing targets one after the
        other does not starve a service. Versions that were rolled back are
        never chosen.
        """
        known = self.find(changed.service)
        if known.is_running:
            return
        current = known.current
        if current:
            candidates = _ready_versions(known, records)
            if not candidates or current in candidates:
                return
            current = candidates[0]
        elif changed.version and not known.order:
            current = changed.version
        if current != known.current:
            self.table.set(
                known.service,
                dataclasses.replace(known, current=current),
                index,
            )

    def needs_adoption(self, changed: TargetRecord) -> bool:
        """Tell whether a report may leave a service without its version."""
        current = self.find(changed.service).current
        is_ready = changed.phase is TargetPhase.ready
        return changed.version != current or not is_ready


def _ready_versions(
    known: ServiceRollout, records: Iterable[TargetRecord]
) -> list[TargetVersion]:
    """Return the versions that may be current, those that started first."""
    ready = sorted(
        (
            record
            for record in records
            if record.service == known.service
            and record.phase is TargetPhase.ready
            and record.version
            and record.version not in known.rejected
        ),
        key=lambda record: (record.born, record.target),
    )
    return [record.version for record in ready]


def _decided(known: ServiceRollout, decision: DecideRollout) -> ServiceRollout:
    """Return a running rollout after a decision of the leader."""
    version = known.target_version
    others = tuple(
        rejected for rejected in known.rejected if rejected != version
    )
    decided = dataclasses.replace(
        known,
        state=decision.state,
        share=decision.share,
        elapsed_ms=decision.elapsed_ms,
        reason=decision.reason,
    )
    match decision.state:
        case RolloutState.completed:
            return dataclasses.replace(
                decided, current=version, rejected=others
            )
        case RolloutState.rolled_back:
            return dataclasses.replace(
                decided, rejected=(*others, version)[-MAX_REJECTED:]
            )
    return decided


def _conflict(known: ServiceRollout, order: OrderRollout) -> ConflictError:
    return ConflictError(
        f'service {order.service} is being moved to version '
        f'{known.target_version}, not {order.target_version}',
        step='order rollout',
        hint='wait until that rollout has ended, then order again',
    )

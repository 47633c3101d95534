"""Targets that have not reported for a while."""

import dataclasses
from collections.abc import Collection, Iterable
from typing import final

from turmericmast.cluster.commands import ReportTarget
from turmericmast.cluster.records import (
    MAX_SEQUENCE,
    TargetPhase,
    TargetRecord,
)
from turmericmast.ids import TargetId

MAX_SILENT_TARGETS = 256
"""Silent targets whose records are kept; beyond, the first ones are removed."""


@final
@dataclasses.dataclass(frozen=True)
class SilentTargets:
    """What becomes of silent targets.

    The reports of a removed target are ignored until it starts again, since
    they may be late ones. A target that was only silent goes on with the
    same start. So it is retired instead: its record says that it drains, as
    if it had reported that, and its next report overrides this.
    """

    retired: tuple[ReportTarget, ...]
    """Reports that take the place of theirs."""
    removed: tuple[TargetId, ...]


def decide_about_silent(
    records: Iterable[TargetRecord],
    silent: Collection[TargetId],
    expired: Collection[TargetId],
) -> SilentTargets:
    """Retire the ``silent`` targets, and remove those silent for very long.

    ``records`` are those of all targets, ``expired`` the ids of the latter.
    """
    silent_records = [record for record in records if record.target in silent]
    kept = [
        record
        for record in silent_records
        if record.target not in expired and record.sequence < MAX_SEQUENCE
    ][-MAX_SILENT_TARGETS:]
    kept_targets = {record.target for record in kept}
    return SilentTargets(
        tuple(
            ReportTarget(_retired(record))
            for record in kept
            if record.phase is TargetPhase.ready
        ),
        tuple(
            record.target
            for record in silent_records
            if record.target not in kept_targets
        ),
    )


def _retired(record: TargetRecord) -> TargetRecord:
    return dataclasses.replace(
        record,
        sequence=record.sequence + 1,
        phase=TargetPhase.draining,
    )

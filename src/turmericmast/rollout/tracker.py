"""Follows running rollouts at a core member, and decides at the leader."""

import dataclasses
from collections.abc import Collection, Iterable, Iterator
from typing import final

from turmericmast.cluster.commands import DecideRollout
from turmericmast.cluster.records import TargetPhase, TargetRecord
from turmericmast.ids import Index, Millis, Seconds
from turmericmast.rollout.evidence import Evidence, EvidenceTable
from turmericmast.rollout.policy import Progress, RolloutPolicy
from turmericmast.rollout.records import ServiceRollout
from turmericmast.units import MILLIS_PER_SECOND


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """When this member first saw a rollout with its present share."""

    share: int
    seen_at: Seconds
    evidence: Evidence
    elapsed_ms: Millis
    """Time since the order that the log has."""
    noted_at: Seconds
    """When this member first saw that."""


@final
class RolloutTracker:
    """Measures the time of rollouts, and asks the policy for decisions.

    Clocks of two machines cannot be compared. So every member notes when it
    saw a step, and a new leader counts on from the elapsed time in the log.
    """

    def __init__(self) -> None:
        """Begin without rollouts."""
        self.evidence = EvidenceTable()
        self._running: Collection[ServiceRollout] = ()
        self._step_by_order: dict[Index, _Step] = {}

    def follow(self, running: Collection[ServiceRollout], now: Seconds) -> None:
        """Note which rollouts run, and since when they have their share."""
        self._running = running
        known = self._step_by_order
        self._step_by_order = {
            rollout.order: self._step(known.get(rollout.order), rollout, now)
            for rollout in running
        }
        if known.keys() != self._step_by_order.keys():
            self.evidence.forget_except(self._step_by_order.keys())

    def decide(
        self,
        policy: RolloutPolicy,
        targets: Collection[TargetRecord],
        now: Seconds,
    ) -> Iterator[DecideRollout]:
        """Yield the decisions that are due; only the leader asks for them."""
        for rollout in self._running:
            step = self._step_by_order[rollout.order]
            decision = policy.decide(
                rollout, self._progress(rollout, step, targets, now)
            )
            if decision:
                yield decision

    def _step(
        self, known: _Step | None, rollout: ServiceRollout, now: Seconds
    ) -> _Step:
        elapsed_ms = rollout.elapsed_ms
        if known is None or known.share != rollout.share:
            evidence = self.evidence.total(rollout.order)
            return _Step(rollout.share, now, evidence, elapsed_ms, now)
        if known.elapsed_ms == elapsed_ms:
            return known
        return dataclasses.replace(known, elapsed_ms=elapsed_ms, noted_at=now)

    def _progress(
        self,
        rollout: ServiceRollout,
        step: _Step,
        targets: Iterable[TargetRecord],
        now: Seconds,
    ) -> Progress:
        noted = step.elapsed_ms / MILLIS_PER_SECOND
        return Progress(
            Seconds(noted + now - step.noted_at),
            Seconds(now - step.seen_at),
            self.evidence.total(rollout.order),
            step.evidence,
            sum(
                record.service == rollout.service
                and record.version == rollout.target_version
                and record.phase is TargetPhase.ready
                for record in targets
            ),
        )

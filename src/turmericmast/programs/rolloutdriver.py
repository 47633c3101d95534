"""Collects the evidence of rollouts, and commits what the leader decides."""

import asyncio
from types import TracebackType
from typing import TYPE_CHECKING, Self, final

from returns.result import Success
from tornado.ioloop import PeriodicCallback

from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.commands import DecideRollout
from turmericmast.exceptions import RefusedError
from turmericmast.ids import Incarnation, Index, InstanceId, MemberId
from turmericmast.instancesettings import Contract, InstanceSettings
from turmericmast.programs.clustercommitter import ClusterCommitter
from turmericmast.programs.groupmember import GroupMember
from turmericmast.rollout.membership import KnowingMembers
from turmericmast.rollout.policy import RolloutPolicy
from turmericmast.rollout.records import EdgeEvidence
from turmericmast.rollout.tracker import RolloutTracker
from turmericmast.wire.clusterrequests import Heard, HeardEvidence
from turmericmast.wire.watchrequests import WatchCluster

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process

ROLLOUT_INTERVAL_MS = 100
"""Milliseconds between two checks of the running rollouts.

Without a running rollout a check does nothing."""


@final
class RolloutDriver:
    """Passes evidence to the leader, and decides there.

    Every member follows the rollouts, so that a new leader can go on.
    """

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        committer: ClusterCommitter,
        group: GroupMember,
        cluster: Cluster,
    ) -> None:
        """Decide about the rollouts of ``cluster``."""
        self._process = process
        self._committer = committer
        self._group = group
        self._rollouts = cluster.rollouts
        self._registry = cluster.registry
        self._tracker = RolloutTracker()
        self._unsent: dict[tuple[InstanceId, Incarnation], EdgeEvidence] = {}
        """Evidence that the leader has not got from this member."""
        self._knowing = KnowingMembers()
        committer.check_members = self.check_members
        self._deciding: set[Index] = set()
        """Orders of rollouts about which a decision is being committed."""
        self._ticker = PeriodicCallback(self.tick, ROLLOUT_INTERVAL_MS)

    def __enter__(self) -> Self:
        """Begin to check the running rollouts."""
        self._ticker.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop checking."""
        self._ticker.stop()

    @property
    def own_member(self) -> MemberId:
        """Return this member's id where rollouts are in force, else empty."""
        is_in_force = Contract.rollout in self._process.settings.contracts
        return self._group.config.own_id if is_in_force else MemberId('')

    def hear(self, heard: Heard) -> None:
        """Record that a member applies entries of rollouts."""
        now = self._process.clock.now()
        self._knowing.record(heard.rollout_member, now)

    def check_members(self) -> RefusedError | None:
        """Return why no rollout can begin now, if an older build is left.

        A member of an older build would lose entries of the log.
        """
        leadership = self._group.replica.leadership()
        older = self._knowing.older(
            leadership.contact_times() if leadership else {},
            self._process.clock.now(),
        )
        if not older:
            return None
        return RefusedError(
            f'members {", ".join(older)} have not told that they know rollouts',
            step='order rollout',
            hint='try again; if it lasts, replace their older builds first',
        )

    def record(self, watch: WatchCluster) -> None:
        """Record the counts in a poll of an instance."""
        if not watch.evidence:
            return
        edge = watch.edge
        evidence = EdgeEvidence(edge.instance, edge.incarnation, watch.evidence)
        self._tracker.evidence.record(evidence)
        self._unsent[edge.instance, edge.incarnation] = evidence

    def receive(self, heard: HeardEvidence) -> None:
        """Record what another member has heard."""
        for evidence in heard.evidence:
            self._tracker.evidence.record(evidence)

    def tick(self) -> None:
        """Decide at the leader; elsewhere send it the evidence."""
        running = self._rollouts.running()
        now = self._process.clock.now()
        self._tracker.follow(running, now)
        unsent = tuple(self._unsent.values())
        self._unsent.clear()
        if not running:
            return
        if self._group.is_leader:
            records = self._registry.table.record_by_key.values()
            policy = RolloutPolicy(self._process.settings.bounds.exposure_share)
            for decision in self._tracker.decide(policy, records, now):
                self._commit(decision)
        elif unsent and self._group.replica.leader:
            self._group.links.to(self._group.replica.leader).send(
                HeardEvidence(unsent)
            )

    def _commit(self, decision: DecideRollout) -> None:
        if decision.order in self._deciding:
            return
        self._deciding.add(decision.order)
        task = asyncio.ensure_future(self._commit_once(decision))
        task.add_done_callback(lambda _: self._deciding.discard(decision.order))

    async def _commit_once(self, decision: DecideRollout) -> None:
        """Commit a decision; one that fails is made again by a later check."""
        committed = await self._committer.change(decision)
        is_committed = isinstance(committed, Success)
        self._process.metrics.count(
            'rollout_decisions',
            state=decision.state.value,
            committed=str(is_committed).lower(),
        )
        self._process.events.write(
            'rollout_decided',
            service=decision.service,
            version=self._rollouts.find(decision.service).target_version,
            order=decision.order,
            state=decision.state.value,
            share=decision.share,
            elapsed_ms=decision.elapsed_ms,
            evidence=decision.reason,
            committed=is_committed,
            reason='' if is_committed else committed.failure().show(),
        )

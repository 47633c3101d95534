"""Detection of silent edges and targets by the leader of the core group."""

import asyncio
from typing import TYPE_CHECKING, final

from turmericmast.cluster import commands
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.liveness import LivenessTracker
from turmericmast.cluster.silence import decide_about_silent
from turmericmast.ids import InstanceId, Seconds, TargetId
from turmericmast.instancesettings import InstanceSettings
from turmericmast.programs.clustercommitter import ClusterCommitter
from turmericmast.wire.clusterrequests import Heard

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process

EDGE_TIMEOUT = 1.5
"""Seconds of silence after which an edge is removed from the directory.

Callers must not be directed to a lost edge for longer than the contact window
plus three seconds."""
TARGET_TIMEOUT_INTERVALS = 8
"""Report intervals of silence after which a target gets no more requests."""
TARGET_RETENTION = 7200.0
"""Seconds of silence after which a target is removed."""


@final
class FailureDetector:
    """Retires what has been silent for too long."""

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        committer: ClusterCommitter,
        cluster: Cluster,
    ) -> None:
        """Watch ``cluster``, and commit changes by ``committer``."""
        self._process = process
        self._committer = committer
        self._cluster = cluster
        self._edges: LivenessTracker[InstanceId] = LivenessTracker(EDGE_TIMEOUT)
        self._targets: LivenessTracker[TargetId] = LivenessTracker(
            TARGET_TIMEOUT_INTERVALS * process.settings.bounds.report_interval,
        )

    def start_leadership(self) -> None:
        """Treat all edges and targets as alive now.

        Called when this member becomes leader, or when the leader has stalled.
        """
        now = self._process.clock.now()
        self._edges.start_leadership(self._cluster.edges.record_by_key, now)
        self._targets.start_leadership(self._cluster.registry.targets, now)

    def record_alive(self, heard: Heard) -> None:
        """Record who has reported, here or to another member."""
        now = self._process.clock.now()
        self._edges.record_alive(heard.instances, now)
        self._targets.record_alive(heard.targets, now)

    def retire_silent(self) -> None:
        """Remove silent edges, and retire or remove silent targets."""
        now = self._process.clock.now()
        edges = self._edges.silent(
            tuple(self._cluster.edges.record_by_key), now
        )
        if edges:
            self._process.events.write('edges_lost', edges=','.join(edges))
            self._start_change(commands.DropEdges(edges))
        targets = self._targets.silent(self._cluster.registry.targets, now)
        if targets:
            self._retire_targets(frozenset(targets), now)

    def _retire_targets(
        self, silent: frozenset[TargetId], now: Seconds
    ) -> None:
        registry = self._cluster.registry
        decided = decide_about_silent(
            registry.table.record_by_key.values(),
            silent,
            {
                target
                for target in silent
                if self._targets.silence(target, now) > TARGET_RETENTION
            },
        )
        if decided.retired:
            retired = [report.record.target for report in decided.retired]
            self._process.events.write(
                'targets_silent', targets=','.join(retired)
            )
        for report in decided.retired:
            self._start_change(report)
        if decided.removed:
            self._remove(decided.removed)

    def _remove(self, targets: tuple[TargetId, ...]) -> None:
        self._process.events.write('targets_removed', targets=','.join(targets))
        # One of them may be starting again at this moment.
        asyncio.ensure_future(
            self._committer.order(
                commands.RemoveTargets(targets), self._cluster.index
            )
        )

    def _start_change(self, command: commands.ClusterCommand) -> None:
        asyncio.ensure_future(self._committer.change(command))

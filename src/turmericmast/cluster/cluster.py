"""The root of the cluster aggregate, a replicated state machine."""

from typing import final

from returns.result import Result, Success

from turmericmast.cluster import commands
from turmericmast.cluster.changetable import ChangeTable
from turmericmast.cluster.crashes import ReportCrash
from turmericmast.cluster.evacuations import Evacuations
from turmericmast.cluster.records import (
    ClusterFeed,
    ClusterSnapshot,
    EdgeRecord,
    PastVersion,
    TargetRecord,
    Tombstone,
)
from turmericmast.cluster.routes import RouteVersions
from turmericmast.cluster.suspects import SuspectRegistry
from turmericmast.cluster.targets import TargetRegistry
from turmericmast.exceptions import TurmericmastError
from turmericmast.ids import Index, InstanceId, TargetId
from turmericmast.rollout.rollouts import Rollouts


@final
class Cluster:
    """The cluster's state, which commands change in the order of the log.

    Every member applies the same commands and so reaches the same state.
    """

    def __init__(self) -> None:
        """Create a cluster without routes, targets and edges."""
        self.index = Index(0)
        """Index of the last command that changed the state."""
        self.route_versions = RouteVersions()
        self.registry = TargetRegistry()
        self.edges: ChangeTable[InstanceId, EdgeRecord] = ChangeTable()
        self.evacuations = Evacuations()
        self.suspects = SuspectRegistry()
        self.rollouts = Rollouts()

    def edge(self, instance: InstanceId) -> EdgeRecord | None:
        """Return the record of an edge instance, ``None`` if it is unknown."""
        return self.edges.record_by_key.get(instance)

    def apply(
        self,
        index: Index,
        command: commands.ClusterCommand,
    ) -> Result[bool, TurmericmastError]:
        """Apply a command; return whether it changed the state, or an error."""
        changed = self._change(index, command)
        if changed.value_or(False):
            self.index = index
        return changed

    def is_overtaken(
        self, command: commands.ClusterCommand, known: Index
    ) -> bool:
        """Tell whether carrying out an order would undo a later one.

        ``known`` is an index that had been applied before the order was sent.
        This is asked before an order is appended to the log, not when it is
        applied: all members apply an entry alike, whatever their version.
        """
        match command:
            case commands.SetEvacuation():
                return self.evacuations.is_overtaken(command, known)
            case commands.RemoveTargets(targets=targets):
                starts = map(self.registry.started_at, targets)
                return any(started_at > known for started_at in starts)
        return False

    def build_feed(self, known: Index) -> ClusterFeed:
        """Return the changes since the index that a reader knows.

        The feed is complete when the changes since then can no longer be
        listed. It is empty for a reader that is ahead of this member, and
        that does not accept an older state.
        """
        if known > self.index:
            return self._empty_feed()
        oldest = max(
            self.registry.table.complete_since,
            self.edges.complete_since,
            self.suspects.table.complete_since,
            self.rollouts.table.complete_since,
        )
        since = known if oldest <= known else Index(0)
        has_routes = self.route_versions.changed_at > since
        table = self.registry.table
        return ClusterFeed(
            index=self.index,
            complete=since == 0,
            routes=self.route_versions.current if has_routes else None,
            evacuated=tuple(sorted(self.evacuations.domains)),
            targets=tuple(table.changed(since)),
            removed_targets=tuple(table.removed(since) if since else ()),
            edges=tuple(self.edges.changed(since)),
            removed_edges=tuple(self.edges.removed(since) if since else ()),
            suspects=tuple(self.suspects.table.changed(since)),
            rollouts=tuple(self.rollouts.table.changed(since)),
        )

    def snapshot(self) -> ClusterSnapshot:
        """Return a copy of the whole state."""
        return ClusterSnapshot(
            index=self.index,
            routes=self.route_versions.current,
            past=tuple(
                PastVersion(version, digest)
                for version, digest in (
                    self.route_versions.digest_by_version.items()
                )
            ),
            evacuated=tuple(sorted(self.evacuations.domains)),
            targets=tuple(self.registry.table.record_by_key.values()),
            tombstones=tuple(
                Tombstone(target, born)
                for target, born in self.registry.born_by_removed_target.items()
            ),
            edges=tuple(self.edges.record_by_key.values()),
            suspects=tuple(self.suspects.table.record_by_key.values()),
            rollouts=tuple(self.rollouts.table.record_by_key.values()),
        )

    def restore(self, snapshot: ClusterSnapshot) -> None:
        """Replace the whole state by that of a snapshot."""
        index = snapshot.index
        self.index = index
        self.route_versions.restore(snapshot.routes, snapshot.past, index)
        self.registry.restore(snapshot.targets, snapshot.tombstones, index)
        self.edges.restore(
            {edge.instance: edge for edge in snapshot.edges}, index
        )
        self.evacuations.restore(snapshot.evacuated, index)
        self.suspects.restore(snapshot.suspects, index)
        self.rollouts.restore(snapshot.rollouts, index)

    def _empty_feed(self) -> ClusterFeed:
        return ClusterFeed(
            index=self.index,
            complete=False,
            routes=None,
            evacuated=tuple(sorted(self.evacuations.domains)),
            targets=(),
            removed_targets=(),
            edges=(),
            removed_edges=(),
        )

    def _change(
        self,
        index: Index,
        command: commands.ClusterCommand,
    ) -> Result[bool, TurmericmastError]:
        if isinstance(command, commands.RolloutCommand):
            return self.rollouts.change(command, index)
        match command:
            case commands.ReportTarget(record=record):
                return Success(self._report_target(record, index))
            case commands.RemoveTargets(targets=targets):
                removed = [
                    self._remove_target(target, index) for target in targets
                ]
                return Success(any(removed))
            case commands.ProposeRoutes():
                return self.route_versions.propose(command, index)
            case commands.SetEvacuation(domain=domain, evacuated=evacuated):
                return Success(
                    self.evacuations.set(
                        domain, evacuated=evacuated, index=index
                    ),
                )
            case commands.SetEdge(edge=edge):
                return Success(self._set_edge(edge, index))
            case ReportCrash():
                return Success(self.suspects.report(command, index))
        dropped = [
            self.edges.remove(instance, index) for instance in command.instances
        ]
        return Success(any(dropped))

    def _report_target(self, record: TargetRecord, index: Index) -> bool:
        has_changed = self.registry.report(record, index)
        if has_changed and self.rollouts.needs_adoption(record):
            self._adopt_version(record, index)
        return has_changed

    def _remove_target(self, target: TargetId, index: Index) -> bool:
        record = self.registry.table.record_by_key.get(target)
        is_removed = self.registry.remove(target, index)
        if record:
            self._adopt_version(record, index)
        return is_removed

    def _adopt_version(self, changed: TargetRecord, index: Index) -> None:
        self.rollouts.adopt(
            changed, self.registry.table.record_by_key.values(), index
        )

    def _set_edge(self, edge: EdgeRecord, index: Index) -> bool:
        if self.edges.record_by_key.get(edge.instance) == edge:
            return False
        self.edges.set(edge.instance, edge, index)
        return True

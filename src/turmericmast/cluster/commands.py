"""Commands that change the cluster, as entries of the replicated log."""

import dataclasses
from typing import TypeAlias, final

from turmericmast.cluster.crashes import ReportCrash
from turmericmast.cluster.records import (
    EdgeRecord,
    RoutesRecord,
    TargetRecord,
)
from turmericmast.ids import (
    DomainId,
    Index,
    InstanceId,
    Millis,
    ServiceId,
    TargetId,
    TargetVersion,
    Version,
)
from turmericmast.rollout.records import RolloutState


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReportTarget:
    """Add or replace the record of a target."""

    record: TargetRecord


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RemoveTargets:
    """Remove targets that have left or were silent for too long."""

    targets: tuple[TargetId, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ProposeRoutes:
    """Replace version ``base`` of the routes by a new one."""

    routes: RoutesRecord
    base: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetEvacuation:
    """Begin or end the evacuation of a failure domain.

    The targets of an evacuated domain get no requests.
    """

    domain: DomainId
    evacuated: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetEdge:
    """Add or replace the record of an edge instance."""

    edge: EdgeRecord


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DropEdges:
    """Remove edge instances that were silent for too long."""

    instances: tuple[InstanceId, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OrderRollout:
    """Move the traffic of a service to the targets of a version."""

    service: ServiceId
    target_version: TargetVersion
    duration_ms: Millis


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DecideRollout:
    """Change the share of a running rollout, or end it.

    The leader decides by evidence that is not in the log, so the entry holds
    the whole decision.
    """

    service: ServiceId
    order: Index
    """Which rollout: the index of its order."""
    state: RolloutState
    share: int
    """Thousandths of the requests that go to the new version."""
    elapsed_ms: Millis
    """Time since the order, by the leader's clock."""
    reason: str


RolloutCommand: TypeAlias = OrderRollout | DecideRollout
Order: TypeAlias = SetEvacuation | RemoveTargets
"""Commands that could undo later ones, if they are carried out late."""
ClusterCommand: TypeAlias = (
    ReportTarget
    | RemoveTargets
    | ProposeRoutes
    | SetEvacuation
    | SetEdge
    | DropEdges
    | ReportCrash
    | RolloutCommand
)

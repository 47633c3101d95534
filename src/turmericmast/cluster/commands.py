"""Commands that change the cluster; each goes through the replicated log."""

import dataclasses
from typing import TypeAlias, final

from turmericmast.cluster.records import (
    EdgeRecord,
    RoutesRecord,
    TargetRecord,
)
from turmericmast.ids import (
    DomainId,
    Fingerprint,
    InstanceId,
    Millis,
    TargetId,
    Version,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReportTarget:
    """A target described itself in a new way."""

    record: TargetRecord


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RemoveTargets:
    """Targets have left, or were silent for long."""

    targets: tuple[TargetId, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ProposeRoutes:
    """An operator replaces the version ``base`` of the routes."""

    routes: RoutesRecord
    base: Version


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetEvacuation:
    """An operator empties a failure domain, or takes it back."""

    domain: DomainId
    evacuated: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SetEdge:
    """An edge instance started, or changed its phase."""

    edge: EdgeRecord


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DropEdges:
    """Edge instances were silent for too long."""

    instances: tuple[InstanceId, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """A target crashed while it ran a request."""

    fingerprint: Fingerprint
    at_ms: Millis
    """Wall clock of the instance that sent the request."""


ClusterCommand: TypeAlias = (
    ReportTarget
    | RemoveTargets
    | ProposeRoutes
    | SetEvacuation
    | SetEdge
    | DropEdges
    | ReportCrash
)

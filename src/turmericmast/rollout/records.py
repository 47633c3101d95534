"""Records of rollouts that are stored, sent to instances and counted there."""

import dataclasses
import enum
from typing import Final, final

from turmericmast.ids import (
    Incarnation,
    Index,
    InstanceId,
    Millis,
    RouteName,
    ServiceId,
    TargetVersion,
)

FULL_SHARE: Final = 1000
"""The share of all requests; shares are in thousandths."""
MAX_REJECTED: Final = 16
"""Versions rolled back last that are kept for each service."""


@final
class RolloutState(enum.Enum):
    """The state of the newest rollout of a service."""

    none = 'none'
    """None was ordered; only the current version is known."""
    running = 'running'
    completed = 'completed'
    rolled_back = 'rolled_back'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRollout:
    """What is known of the versions of a service, and its newest rollout."""

    service: ServiceId
    current: TargetVersion = TargetVersion('')
    """The version that requests go to; empty if no target has told one."""
    state: RolloutState = RolloutState.none
    target_version: TargetVersion = TargetVersion('')
    order: Index = Index(0)
    """Index of the order in the log, which identifies the rollout."""
    duration_ms: Millis = Millis(0)
    """Time budget, counted from the order."""
    share: int = 0
    """Thousandths of the requests that go to ``target_version``."""
    elapsed_ms: Millis = Millis(0)
    """Time since the order when the leader decided last."""
    reason: str = ''
    """The evidence of the last decision."""
    rejected: tuple[TargetVersion, ...] = ()
    """Versions that were rolled back; they never become current by default."""

    @property
    def is_running(self) -> bool:
        """Tell whether requests are being moved to another version."""
        return self.state is RolloutState.running


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VersionCounts:
    """Responses of one route at one instance, by targets of one version.

    The counts begin with the rollout and never decrease, so that a lost or
    repeated message changes nothing.
    """

    service: ServiceId
    order: Index
    route: RouteName
    is_new: bool
    """Whether these are targets of the version that is rolled out."""
    responses: int
    failures: int
    latencies: tuple[int, ...]
    """Responses of warm targets by latency, see ``latencies.bucket_of``."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class EdgeEvidence:
    """All counts of one start of an instance."""

    instance: InstanceId
    incarnation: Incarnation
    counts: tuple[VersionCounts, ...]

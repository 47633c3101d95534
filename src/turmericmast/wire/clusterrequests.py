"""Requests of core members to each other."""

import dataclasses
from typing import final

from turmericmast.cluster.commands import ClusterCommand
from turmericmast.ids import Index, InstanceId, MemberId, TargetId
from turmericmast.rollout.records import EdgeEvidence


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCluster:
    """A command for the core group, sent to its leader."""

    command: ClusterCommand
    known: Index | None = None
    """An index that had been applied before an operator sent the order.

    Members of older versions do not send it: nothing is known of the age of
    their orders."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """A member tells the leader who reported to it since its last message."""

    targets: tuple[TargetId, ...]
    instances: tuple[InstanceId, ...]
    rollout_member: MemberId = MemberId('')
    """The sender if it applies entries of rollouts; empty of older builds."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HeardEvidence:
    """A member tells the leader what instances counted during rollouts."""

    evidence: tuple[EdgeEvidence, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AskIndex:
    """A member requests the leader's commit index."""

"""What edges and core members ask of a core member, and its answers."""

import dataclasses
from typing import final

from turmericmast.cluster.commands import ClusterCommand
from turmericmast.cluster.records import ClusterFeed, EdgeRecord
from turmericmast.ids import Index, InstanceId, TargetId
from turmericmast.replica.messages import Seat


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeCluster:
    """A command for the core group, handed to its leader."""

    command: ClusterCommand


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WatchCluster:
    """An edge tells that it runs, and asks what changed after an index."""

    edge: EdgeRecord
    known: Index


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WatchedCluster:
    """What changed, who the members are, and how fresh this member is."""

    feed: ClusterFeed
    seats: tuple[Seat, ...]
    contact_ms: int
    """Milliseconds since a quorum was known to stand behind this member."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """A member tells the leader whom it heard from since its last word."""

    targets: tuple[TargetId, ...]
    instances: tuple[InstanceId, ...]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AskIndex:
    """A member asks the leader up to where the log is committed."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TellIndex:
    """The answer of a leader: up to where the log is committed.

    After a change it says that the change is among what is committed.
    """

    index: Index

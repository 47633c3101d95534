"""Requests of edges to a core member, and its answers.

They are apart from those of core members, since an edge that starts should load
no more than it needs.
"""

import dataclasses
from typing import final

from turmericmast.cluster.records import ClusterFeed, EdgeRecord
from turmericmast.ids import DomainId, Index, MemberId
from turmericmast.replica.seat import Seat
from turmericmast.rollout.records import VersionCounts


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WatchCluster:
    """An edge reports that it runs and requests all changes after an index."""

    edge: EdgeRecord
    known: Index
    """Index up to which the edge has all changes."""
    packed: bool = False
    """Whether the edge understands ``PackedCluster``; older ones do not."""
    evidence: tuple[VersionCounts, ...] = ()
    """Counts of the running rollouts; older edges send none."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WatchedCluster:
    """The changes, the core group's members, and the answer's staleness."""

    feed: ClusterFeed
    seats: tuple[Seat, ...]
    contact_ms: int
    """Milliseconds since the answering member last had contact to a quorum."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PackedCluster:
    """Like ``WatchedCluster``, with the feed as ``pack_feed`` returns it."""

    feed: bytes
    seats: tuple[Seat, ...]
    contact_ms: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AskMember:
    """A starting edge asks which member is in its failure domain."""

    domain: DomainId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TellMember:
    """The answer to ``AskMember``."""

    member: MemberId
    """Empty while no member of the group is in that domain."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TellIndex:
    """The commit index of the member that answers.

    Only a leader whose lease holds answers ``AskIndex``. As the answer to
    ``ChangeCluster``, the index covers the change.
    """

    index: Index

"""Requests of edges to a core member, and its answers.

They are apart from those of core members, since an edge that starts should load
no more than it needs.
"""

import dataclasses
from typing import final

from turmericmast.allowance.tokens import TokenDemand, TokenGrant
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
    asked_ms: int | None = None
    """The edge's clock when it asked, in milliseconds, for the answer.

    ``None`` from edges that want no proof, and from older ones."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WatchedCluster:
    """The changes, the core group's members, and the answer's staleness."""

    feed: ClusterFeed
    seats: tuple[Seat, ...]
    contact_ms: int
    """Milliseconds since the answering member last had contact to a quorum."""
    proof_ms: int | None = None
    """Age in milliseconds of the member's proof that it lacks no change.

    ``None`` if it has none, and from older members: it proves nothing."""
    asked_ms: int | None = None
    """``WatchCluster.asked_ms``; ``None`` from older members."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PackedCluster:
    """Like ``WatchedCluster``, with the feed as ``pack_feed`` returns it."""

    feed: bytes
    seats: tuple[Seat, ...]
    contact_ms: int
    grants_tokens: bool = False
    """Whether the member answers ``AskTokens``; older ones do not."""
    proof_ms: int | None = None
    asked_ms: int | None = None


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


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AskTokens:
    """An edge asks a member for tokens, or a member asks the leader."""

    demands: tuple[TokenDemand, ...]
    relayed: bool
    """Whether a member has sent it on; it is not sent on again then."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TellTokens:
    """The answer to ``AskTokens``, one grant for each demand in its order."""

    grants: tuple[TokenGrant, ...]

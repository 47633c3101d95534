"""State that election, replication and bootstrap of a replica share."""

import dataclasses
import enum
import random
from typing import final

from turmericmast.ids import DomainId, Incarnation, Index, MemberId, Term
from turmericmast.replica.log import Log
from turmericmast.replica.membership import Membership
from turmericmast.replica.messages import (
    AppendReply,
    Entry,
    Message,
    Snapshot,
)
from turmericmast.replica.store import Store, Vote


@final
class Role(enum.Enum):
    """Raft role of a replica; the values appear in event lines.

    A learner replicates the log without a vote. A pre-candidate asks whether
    it would win an election before it starts one.
    """

    learner = 'learner'
    follower = 'follower'
    pre_candidate = 'trial'
    candidate = 'candidate'
    leader = 'leader'


@final
@dataclasses.dataclass(frozen=True)
class Timing:
    """Intervals and timeouts of the protocol, in seconds."""

    heartbeat: float = 0.15
    """Interval between heartbeats of the leader."""
    election_min: float = 0.6
    """Shortest election timeout.

    It also bounds the leader lease, and followers refuse votes for as long
    after contact with their leader."""
    election_max: float = 1.2
    """Longest election timeout; without a quorum, a leader steps down then."""
    clock_drift: float = 0.1
    """Share of the lease cut off to allow for clocks at different rates."""


@final
@dataclasses.dataclass(frozen=True)
class ReplicaConfig:
    """Identity of a replica and the members that its settings name."""

    own_id: MemberId
    members: tuple[MemberId, ...]
    """All members under static membership.

    Under dynamic membership, the contacts: the members that may bootstrap the
    group, and to which others send their join requests."""
    witnesses: frozenset[MemberId] = frozenset()
    domain: DomainId = DomainId('')
    has_dynamic_membership: bool = False
    """Whether members join and leave at run time, as the log records it."""
    may_bootstrap: bool = True
    """Whether this member may take part in the bootstrap of the group."""

    @property
    def is_witness(self) -> bool:
        """Tell whether this replica stores entries without their payloads."""
        return self.own_id in self.witnesses


@final
@dataclasses.dataclass
class Effects:
    """Output of a replica for its process to carry out."""

    messages: list[tuple[MemberId, Message]] = dataclasses.field(
        default_factory=list,
    )
    """Receivers and messages; only an ``Append`` may go out before a sync."""
    committed: list[Entry] = dataclasses.field(default_factory=list)
    """Newly committed entries, to be applied in this order."""
    restored: Snapshot | None = None
    """A snapshot that replaces the state before the entries are applied."""


@final
class ReplicaState:
    """Term, vote, log and membership of one replica."""

    def __init__(
        self,
        config: ReplicaConfig,
        store: Store,
        incarnation: Incarnation,
        timing: Timing,
    ) -> None:
        """Recover from the store.

        ``incarnation`` is the identity of a replica whose store is empty.
        """
        recovered = store.load()
        self.config = config
        self.timing = timing
        self.store = store
        self.log = Log(recovered.snapshot, recovered.entries)
        self.role = Role.follower
        self.leader = MemberId('')
        recorded_commit = min(recovered.commit, self.log.last_index)
        self.commit = Index(max(self.log.snapshot_index, recorded_commit))
        self.effects = Effects(
            committed=self.log.between(
                self.log.snapshot_index + 1, self.commit
            ),
            restored=recovered.snapshot,
        )
        self.leader_heard_at = float(0)
        self.random = random.Random(incarnation)  # noqa: S311
        self.vote = recovered.vote
        has_voted = self.vote != Vote(incarnation=self.vote.incarnation)
        self._has_reported = (
            self.log.is_empty and bool(self.vote.incarnation) and not has_voted
        )
        has_state = not self.log.is_empty and bool(self.vote.incarnation)
        if not has_state and not self._has_reported:
            # A replica that lost its log may have voted before: under a new
            # incarnation, the group does not count its votes.
            self.vote = Vote(incarnation=incarnation)
        self.membership = Membership(self.log.seats_at(self.log.last_index))
        self.role = self.passive_role()

    @property
    def has_reported(self) -> bool:
        """Tell whether it only reported its incarnation before this start.

        It has neither voted nor stored an entry then, and the first entry of
        the group may name this incarnation.
        """
        return self._has_reported

    @property
    def is_voter(self) -> bool:
        """Tell whether this incarnation of the member has a vote."""
        return self.membership.has_voter(
            self.config.own_id, self.vote.incarnation
        )

    @property
    def peers(self) -> tuple[MemberId, ...]:
        """Return the other members of the group.

        Under dynamic membership, the log lists them; while it holds no
        membership, they are the contacts of the settings.
        """
        listed = tuple(seat.member for seat in self.membership.seats)
        is_listed = self.config.has_dynamic_membership and listed
        members = listed if is_listed else self.config.members
        return tuple(
            member for member in members if member != self.config.own_id
        )

    def set_contacts(self, contacts: tuple[MemberId, ...]) -> None:
        """Replace the contacts, for example after a reload of the settings."""
        self.config = dataclasses.replace(self.config, members=contacts)

    def send(self, member: MemberId, message: Message) -> None:
        """Add a message to the effects."""
        self.effects.messages.append((member, message))

    def send_append_reply(
        self,
        leader: MemberId,
        sent_at: float,
        *,
        matched: bool,
        index: int,
    ) -> None:
        """Answer the leader: how far the own log matches the leader's."""
        self.send(
            leader,
            AppendReply(
                term=self.vote.term,
                member=self.config.own_id,
                incarnation=self.vote.incarnation,
                matched=matched,
                index=Index(index),
                sent_at=sent_at,
            ),
        )

    def observe_term(self, term: Term) -> None:
        """Adopt a later term, and step down."""
        if term > self.vote.term:
            self.save_vote(term, MemberId(''))
            self.leader = MemberId('')
            self.role = self.passive_role()

    def passive_role(self) -> Role:
        """Return the role while neither campaigning nor leading."""
        return Role.follower if self.is_voter else Role.learner

    def save_vote(self, term: Term, voted_for: MemberId) -> None:
        """Store the current term and the vote in it."""
        self.vote = dataclasses.replace(
            self.vote,
            term=term,
            voted_for=voted_for,
        )
        self.store.save_vote(self.vote)

    def append(self, entries: list[Entry]) -> None:
        """Append entries to log and store, and apply any membership change."""
        stored_entries = (
            [entry.without_payload() for entry in entries]
            if self.config.is_witness
            else entries
        )
        if self.log.is_empty:
            self.store.save_vote(self.vote)
        self.log.append(stored_entries)
        self.store.append(stored_entries)
        self.refresh_membership()

    def truncate(self, index: Index) -> None:
        """Remove the entry at ``index`` and all later ones."""
        self.log.truncate(index)
        self.store.truncate(index)
        self.refresh_membership()

    def refresh_membership(self) -> None:
        """Use the latest membership in the log, committed or not."""
        self.membership = Membership(self.log.seats_at(self.log.last_index))
        if self.role in {Role.learner, Role.follower}:
            self.role = self.passive_role()

    def commit_to(self, index: Index) -> None:
        """Advance the commit index and add the new entries to the effects."""
        if index > self.commit:
            self.effects.committed.extend(
                self.log.between(self.commit + 1, index),
            )
            self.commit = index
            self.store.save_commit(index)

    def compact(self, index: Index, state: bytes) -> None:
        """Replace the log up to ``index`` by a snapshot of the state there."""
        term = self.log.term_at(index)
        if term is None or index <= self.log.snapshot_index:
            return
        snapshot = Snapshot(index, term, self.log.seats_at(index), state)
        tail = self.log.compact(snapshot)
        self.store.save_snapshot(snapshot, tail)

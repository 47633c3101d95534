"""State that the parts of a replica share."""

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
    """What a replica does at the moment."""

    learner = 'learner'
    follower = 'follower'
    pre_candidate = 'trial'
    candidate = 'candidate'
    leader = 'leader'


@final
@dataclasses.dataclass(frozen=True)
class Timing:
    """Times of the protocol in seconds."""

    heartbeat: float = 0.15
    election_min: float = 0.6
    election_max: float = 1.2
    clock_drift: float = 0.1
    """Share of a timeout set aside for clocks that run apart."""


@final
@dataclasses.dataclass(frozen=True)
class ReplicaConfig:
    """Who a replica is and which members its group has by the settings."""

    own_id: MemberId
    members: tuple[MemberId, ...]
    """All members of a closed group; the contacts of an open one."""
    witnesses: frozenset[MemberId] = frozenset()
    domain: DomainId = DomainId('')
    has_dynamic_membership: bool = False
    """Whether the log alone decides who is a member."""
    may_bootstrap: bool = True
    """Whether this member may help to found the group."""

    @property
    def is_witness(self) -> bool:
        """Tell whether this replica keeps positions only."""
        return self.own_id in self.witnesses


@final
@dataclasses.dataclass
class Effects:
    """What the process has to do; messages go out only after a sync."""

    messages: list[tuple[MemberId, Message]] = dataclasses.field(
        default_factory=list,
    )
    committed: list[Entry] = dataclasses.field(default_factory=list)
    restored: Snapshot | None = None


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
        """Load the store; ``incarnation`` is used when it is empty."""
        recovered = store.load()
        self.config = config
        self.timing = timing
        self.store = store
        self.log = Log(recovered.snapshot, recovered.entries)
        self.role = Role.follower
        self.leader = MemberId('')
        known = min(recovered.commit, self.log.last_index)
        self.commit = Index(max(self.log.snapshot_index, known))
        self.effects = Effects(
            committed=self.log.between(
                self.log.snapshot_index + 1, self.commit
            ),
            restored=recovered.snapshot,
        )
        self.leader_heard_at = float(0)
        self.random = random.Random(incarnation)  # noqa: S311
        self.vote = recovered.vote
        if self.log.is_empty or not self.vote.incarnation:
            # Whoever kept nothing must not be taken for its former self.
            self.vote = Vote(incarnation=incarnation)
        self.membership = Membership(self.log.seats_at(self.log.last_index))
        self.role = self.passive_role()

    @property
    def is_voter(self) -> bool:
        """Tell whether the group counts the votes of this incarnation."""
        return self.membership.has_voter(
            self.config.own_id, self.vote.incarnation
        )

    @property
    def peers(self) -> tuple[MemberId, ...]:
        """Return the members besides this one.

        An open group goes by its log; its contacts count until it has one.
        """
        listed = tuple(seat.member for seat in self.membership.seats)
        is_listed = self.config.has_dynamic_membership and listed
        members = listed if is_listed else self.config.members
        return tuple(one for one in members if one != self.config.own_id)

    def set_contacts(self, contacts: tuple[MemberId, ...]) -> None:
        """Take other contacts of an open group, as after new settings."""
        self.config = dataclasses.replace(self.config, members=contacts)

    def send(self, member: MemberId, message: Message) -> None:
        """Queue a message until the next sync."""
        self.effects.messages.append((member, message))

    def send_append_reply(
        self,
        leader: MemberId,
        sent_at: float,
        *,
        matched: bool,
        index: int,
    ) -> None:
        """Tell a leader how far the own log agrees with its log."""
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
        """Step down when a later term exists."""
        if term > self.vote.term:
            self.save_vote(term, MemberId(''))
            self.leader = MemberId('')
            self.role = self.passive_role()

    def passive_role(self) -> Role:
        """Return the role of a replica that does not campaign."""
        return Role.follower if self.is_voter else Role.learner

    def save_vote(self, term: Term, voted_for: MemberId) -> None:
        """Change term and vote."""
        self.vote = dataclasses.replace(
            self.vote,
            term=term,
            voted_for=voted_for,
        )
        self.store.save_vote(self.vote)

    def append(self, entries: list[Entry]) -> None:
        """Add entries to log and store and adopt a new membership."""
        kept = (
            [entry.without_payload() for entry in entries]
            if self.config.is_witness
            else entries
        )
        if self.log.is_empty:
            self.store.save_vote(self.vote)
        self.log.append(kept)
        self.store.append(kept)
        self.refresh_membership()

    def truncate(self, index: Index) -> None:
        """Drop a conflicting suffix."""
        self.log.truncate(index)
        self.store.truncate(index)
        self.refresh_membership()

    def refresh_membership(self) -> None:
        """Follow the newest membership of the log."""
        self.membership = Membership(self.log.seats_at(self.log.last_index))
        if self.role in {Role.learner, Role.follower}:
            self.role = self.passive_role()

    def commit_to(self, index: Index) -> None:
        """Hand out entries that became committed."""
        if index > self.commit:
            self.effects.committed.extend(
                self.log.between(self.commit + 1, index),
            )
            self.commit = index
            self.store.save_commit(index)

    def compact(self, index: Index, state: bytes) -> None:
        """Replace the log up to ``index`` by the state there."""
        term = self.log.term_at(index)
        if term is None or index <= self.log.snapshot_index:
            return
        snapshot = Snapshot(index, term, self.log.seats_at(index), state)
        tail = self.log.compact(snapshot)
        self.store.save_snapshot(snapshot, tail)

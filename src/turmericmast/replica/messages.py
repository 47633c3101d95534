"""Messages and log entries of the replication protocol."""

import dataclasses
import enum
from typing import TypeAlias, final

from turmericmast.ids import DomainId, Incarnation, Index, MemberId, Term


@final
class EntryKind(enum.Enum):
    """What a log entry holds."""

    noop = 0
    command = 1
    membership = 2


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Seat:
    """One member of a group under the incarnation that may vote for it."""

    member: MemberId
    incarnation: Incarnation
    witness: bool
    domain: DomainId = DomainId('')
    """Failure domain, empty where the settings list the members."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One record of the replicated log."""

    index: Index
    term: Term
    kind: EntryKind
    payload: bytes = b''
    seats: tuple[Seat, ...] = ()

    def without_payload(self) -> 'Entry':
        """Return what a witness may keep: position and membership."""
        return dataclasses.replace(self, payload=b'')


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state of the group up to and including ``index``."""

    index: Index
    term: Term
    seats: tuple[Seat, ...]
    state: bytes


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """What a member without state asks, and what every member answers."""

    member: MemberId
    incarnation: Incarnation
    formed: bool
    question: bool
    seats: tuple[Seat, ...] = ()
    domain: DomainId = DomainId('')


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """A member of an open group that hears no leader asks for a seat."""

    member: MemberId
    incarnation: Incarnation
    domain: DomainId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """A candidate asks for a vote; ``trial`` asks without binding anyone."""

    term: Term
    candidate: MemberId
    incarnation: Incarnation
    last_index: Index
    last_term: Term
    trial: bool
    handed_over: bool = False
    """Whether the leader gave up its lead to this candidate."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """A leader that is about to stop names its successor."""

    term: Term
    leader: MemberId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """The answer to a vote request."""

    term: Term
    voter: MemberId
    incarnation: Incarnation
    granted: bool
    trial: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """The leader sends entries, or a heartbeat when there are none."""

    term: Term
    leader: MemberId
    prev_index: Index
    prev_term: Term
    commit: Index
    sent_at: float
    entries: tuple[Entry, ...] = ()


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Install:
    """The leader sends a snapshot to a member too far behind its log."""

    term: Term
    leader: MemberId
    sent_at: float
    snapshot: Snapshot


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """A member tells how far its log agrees with the leader's.

    ``sent_at`` repeats the leader's clock of the message answered.
    """

    term: Term
    member: MemberId
    incarnation: Incarnation
    matched: bool
    index: Index
    sent_at: float


Message: TypeAlias = (
    Probe
    | Join
    | VoteRequest
    | HandOver
    | VoteReply
    | Append
    | Install
    | AppendReply
)

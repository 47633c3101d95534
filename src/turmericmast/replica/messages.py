"""Messages and log entries of the replication protocol."""

import dataclasses
import enum
from typing import TypeAlias, final

from turmericmast.ids import DomainId, Incarnation, Index, MemberId, Term
from turmericmast.replica.seat import Seat


@final
class EntryKind(enum.Enum):
    """Type of the content of a log entry."""

    noop = 0
    command = 1
    membership = 2


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
        """Return the entry without its payload, as a witness stores it."""
        return dataclasses.replace(self, payload=b'')


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the group after all entries up to and including ``index``."""

    index: Index
    term: Term
    seats: tuple[Seat, ...]
    state: bytes


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Bootstrap probe: a member reports whether it has any state.

    ``question`` asks for a probe in answer; ``formed`` tells that the sender
    has state, and ``seats`` are those of the first log entry.
    """

    member: MemberId
    incarnation: Incarnation
    formed: bool
    question: bool
    seats: tuple[Seat, ...] = ()
    domain: DomainId = DomainId('')


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Request for a seat, from a member without contact to a leader.

    Used under dynamic membership only.
    """

    member: MemberId
    incarnation: Incarnation
    domain: DomainId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request for a vote, or for a pre-vote if ``trial`` is set.

    A pre-vote changes neither term nor vote of the receiver.
    """

    term: Term
    candidate: MemberId
    incarnation: Incarnation
    last_index: Index
    last_term: Term
    trial: bool
    handed_over: bool = False
    """Whether the leader transferred its leadership to this candidate."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Leadership transfer by a leader that is about to stop.

    The receiver is to campaign at once.
    """

    term: Term
    leader: MemberId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer to a vote or pre-vote request."""

    term: Term
    voter: MemberId
    incarnation: Incarnation
    granted: bool
    trial: bool


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Entries from the leader; a heartbeat if there are none."""

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
    """Snapshot from the leader for a member that lags behind its log."""

    term: Term
    leader: MemberId
    sent_at: float
    snapshot: Snapshot


@final
@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer to ``Append`` or ``Install``.

    If ``matched``, the log agrees with the leader's up to ``index``;
    otherwise ``index`` is where the leader should retry. ``sent_at`` is
    copied from the message answered.
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

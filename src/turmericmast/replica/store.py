"""What a replica needs from its disk."""

import abc
import dataclasses
from collections.abc import Sequence
from typing import final

from turmericmast.ids import Incarnation, Index, MemberId, Term
from turmericmast.replica.messages import Entry, Snapshot


@final
@dataclasses.dataclass(frozen=True)
class Vote:
    """The vote of a member in its current term, kept across restarts."""

    term: Term = Term(0)
    voted_for: MemberId = MemberId('')
    incarnation: Incarnation = Incarnation('')


@final
@dataclasses.dataclass(frozen=True)
class CommitMark:
    """Up to where the log was known to be committed at some time."""

    index: Index


@final
@dataclasses.dataclass(frozen=True)
class RecoveredState:
    """What was found on disk; all of it is empty on a new or lost disk."""

    vote: Vote
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    commit: Index = Index(0)
    """The last index known to be committed; later ones may be too."""


class Store(abc.ABC):
    """Durable state of one replica.

    Writes may be buffered; nothing written counts before ``sync`` returns.
    """

    @abc.abstractmethod
    def load(self) -> RecoveredState:
        """Return what survived, with a torn tail cut off."""

    @abc.abstractmethod
    def save_vote(self, vote: Vote) -> None:
        """Replace the vote."""

    @abc.abstractmethod
    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries behind the last one."""

    @abc.abstractmethod
    def save_commit(self, index: Index) -> None:
        """Note up to where the log is committed, so that a restart knows."""

    @abc.abstractmethod
    def truncate(self, index: Index) -> None:
        """Drop the entry at ``index`` and all behind it."""

    @abc.abstractmethod
    def save_snapshot(
        self,
        snapshot: Snapshot,
        tail: Sequence[Entry],
    ) -> None:
        """Replace the snapshot and keep only ``tail`` of the log."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Make all earlier writes survive a crash."""

"""Interface of the durable storage of a replica."""

import abc
import dataclasses
from collections.abc import Sequence
from typing import final

from turmericmast.ids import Incarnation, Index, MemberId, Term
from turmericmast.replica.messages import Entry, Snapshot


@final
@dataclasses.dataclass(frozen=True)
class Vote:
    """Current term, vote in it and incarnation, kept across restarts."""

    term: Term = Term(0)
    voted_for: MemberId = MemberId('')
    incarnation: Incarnation = Incarnation('')


@final
@dataclasses.dataclass(frozen=True)
class CommitMark:
    """Record in the log file of a commit index known at that time."""

    index: Index


@final
@dataclasses.dataclass(frozen=True)
class RecoveredState:
    """Stored state found at a start; empty for a new or lost disk."""

    vote: Vote
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    commit: Index = Index(0)
    """Last index recorded as committed; later entries may be committed too."""


class Store(abc.ABC):
    """Durable storage of one replica.

    Changes may be buffered; they are durable only once ``sync`` returns.
    """

    @abc.abstractmethod
    def load(self) -> RecoveredState:
        """Return the stored state, without an incomplete last write."""

    @abc.abstractmethod
    def save_vote(self, vote: Vote) -> None:
        """Replace the stored term and vote."""

    @abc.abstractmethod
    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries after the last one."""

    @abc.abstractmethod
    def save_commit(self, index: Index) -> None:
        """Record the commit index, for recovery after a restart."""

    @abc.abstractmethod
    def truncate(self, index: Index) -> None:
        """Remove the entry at ``index`` and all later ones."""

    @abc.abstractmethod
    def save_snapshot(
        self,
        snapshot: Snapshot,
        tail: Sequence[Entry],
    ) -> None:
        """Replace the snapshot, and the whole log by ``tail``."""

    @abc.abstractmethod
    def sync(self) -> None:
        """Make all earlier changes durable.

        Raises ``DiskError`` if the disk refuses. The changes are kept then, and
        the next call tries again.
        """

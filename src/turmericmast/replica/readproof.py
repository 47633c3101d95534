"""Up to when a member of a group knows all acknowledged changes."""

import collections
from typing import final

from turmericmast.clock import LONG_AGO
from turmericmast.ids import Index, Seconds

MAX_PENDING = 16
"""Answers of the leader that wait to be applied; the oldest are dropped."""


@final
class ReadProof:
    """The proof of a member that it lacks no older change (a read index).

    The leader's commit index, told under its lease, covers all changes that
    were acknowledged before the member asked for it. The proof holds once the
    member has applied the log up to that index.
    """

    def __init__(self) -> None:
        """Begin without a proof."""
        self._proven_at: Seconds = LONG_AGO
        self._pending: collections.deque[tuple[Seconds, Index]] = (
            collections.deque(maxlen=MAX_PENDING)
        )

    def record(self, asked_at: Seconds, index: Index) -> None:
        """Take the answer of the leader to a request sent at ``asked_at``."""
        self._pending.append((asked_at, index))

    def proven_at(self, applied: Index) -> Seconds:
        """Return the time before which all acknowledged changes are applied.

        ``applied`` is the index that the member has applied.
        """
        covered = [asked for asked, index in self._pending if index <= applied]
        self._proven_at = max(self._proven_at, *covered, LONG_AGO)
        self._pending = collections.deque(
            (pair for pair in self._pending if pair[1] > applied), MAX_PENDING
        )
        return self._proven_at

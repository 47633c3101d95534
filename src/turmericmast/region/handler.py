"""Base class and shared helpers of the command handlers of a region."""

import abc
import collections
from typing import Any, Generic, TypeAlias, TypeVar, final

from returns.result import Failure, Result, Success

from turmericmast.exceptions import RefusedError, TurmericmastError
from turmericmast.ids import ChangeId, Index
from turmericmast.region.view import RegionView

MAX_CHANGES = 4096
"""Operator changes whose ids are kept to recognise resends."""

Answer: TypeAlias = Result[Any, TurmericmastError]
"""What a command returns, or the error that refuses it."""
CommandT = TypeVar('CommandT', contravariant=True)

DONE: Answer = Success(None)
"""Answer to a command that returns nothing."""


class CommandHandler(abc.ABC, Generic[CommandT]):
    """Applies one group of commands to the state of a region."""

    def __init__(self, view: RegionView) -> None:
        """Read and change the tables of ``view``."""
        self.view = view

    @property
    def index(self) -> Index:
        """Return the log index of the command being applied."""
        return self.view.index

    @abc.abstractmethod
    def apply(self, command: CommandT) -> Answer:
        """Apply one command and return its result."""


@final
class SeenChanges:
    """Operator changes by id, so that a resend is not applied again.

    The oldest of more than ``MAX_CHANGES`` changes are dropped.
    """

    def __init__(self) -> None:
        """Start with no changes seen."""
        self.text_by_change: collections.OrderedDict[ChangeId, str] = (
            collections.OrderedDict()
        )

    def deduplicate(self, change: ChangeId, text: str) -> Answer | None:
        """Return the answer to a resend; record a new change.

        ``text`` is the ``repr`` of the command. Return ``None`` for a new id,
        success for a known id with the same text, and a failure for a known
        id with another text.
        """
        known = self.text_by_change.get(change)
        if known is None:
            self.text_by_change[change] = text
            if len(self.text_by_change) > MAX_CHANGES:
                self.text_by_change.popitem(last=False)
            return None
        if known == text:
            return DONE
        return Failure(
            RefusedError(
                f'change {change} was used for something else',
                step='change region',
                hint='send it under a new change id',
            ),
        )

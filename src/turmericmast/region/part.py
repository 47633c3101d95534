"""What the parts of a region have in common."""

import abc
import collections
from typing import Any, Generic, TypeAlias, TypeVar, final

from returns.result import Failure, Result, Success

from turmericmast.exceptions import RefusedError, TurmericmastError
from turmericmast.ids import ChangeId, Index
from turmericmast.region.view import RegionView

MAX_CHANGES = 4096
"""Changes of operators whose answers are remembered."""

Answer: TypeAlias = Result[Any, TurmericmastError]
CommandT = TypeVar('CommandT', contravariant=True)

DONE: Answer = Success(None)


class Part(abc.ABC, Generic[CommandT]):
    """A part of a region that answers to some of its commands."""

    def __init__(self, view: RegionView) -> None:
        """Work on the tables of ``view``."""
        self.view = view

    @property
    def index(self) -> Index:
        """Return the index of the command being applied."""
        return self.view.index

    @abc.abstractmethod
    def apply(self, command: CommandT) -> Answer:
        """Apply one command."""


@final
class SeenChanges:
    """Changes of operators by id, so that each is carried out once."""

    def __init__(self) -> None:
        """Start without any."""
        self.text_by_change: collections.OrderedDict[ChangeId, str] = (
            collections.OrderedDict()
        )

    def repeated(self, change: ChangeId, text: str) -> Answer | None:
        """Return the answer to a change seen before, and remember others."""
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

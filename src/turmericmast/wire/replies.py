"""Answers of any member that does not do what it was asked."""

import dataclasses
from typing import final

from turmericmast.ids import MemberId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A rule refuses the request; asking again changes nothing."""

    step: str
    message: str
    hint: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NotNow:
    """The member asked cannot answer now: it does not lead, or lost touch."""

    leader: MemberId
    """The member to ask, empty when it is not known."""
    message: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The change was made against a version that is not in place."""

    step: str
    message: str
    hint: str

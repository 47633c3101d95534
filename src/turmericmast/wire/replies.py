"""Answers of any member to a request that it does not carry out."""

import dataclasses
from typing import final

from turmericmast.ids import Index, MemberId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A rule rejects the request; a retry would be rejected, too."""

    step: str
    message: str
    hint: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class NotNow:
    """The member is not the leader, or has lost contact to its group."""

    leader: MemberId
    """The member to try instead; empty if unknown."""
    message: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The change is based on a version that is no longer current."""

    step: str
    message: str
    hint: str


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Overtaken:
    """The order may have been sent before a later one that it would undo."""

    index: Index
    """Index that covers the later order."""

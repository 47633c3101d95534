"""What a target states about itself in the head of an answer."""

import dataclasses
from typing import final

from turmericmast.balance.pause import PauseRequest


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatement:
    """What a target states about itself in the head of an answer."""

    is_leaving: bool = False
    """Whether it is leaving and wants no new requests."""
    pause: PauseRequest | None = None
    """For how long it wants nothing, ``None`` if it does not say.

    It counts only where the target turns a request away."""


NO_STATEMENT = TargetStatement()
"""The statement of an answer without such headers."""

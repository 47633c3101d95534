"""What a target states about itself in the head of an answer."""

import dataclasses
from typing import final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatement:
    """What a target states about itself in the head of an answer."""

    is_leaving: bool = False
    """Whether it is leaving and wants no new requests."""


NO_STATEMENT = TargetStatement()
"""The statement of an answer without such headers."""

"""What a target reports of its load."""

import dataclasses
from typing import final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a target at the time of an answer."""

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0
    """How long work takes at this moment, in multiples of the usual time."""

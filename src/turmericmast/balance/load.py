"""The load that a target reports."""

import dataclasses
from typing import final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of a target at the time of an answer."""

    running: int
    """Requests that the target is processing."""
    waiting: int
    """Requests that are queued at the target."""
    slots: int
    """Requests that the target can process at a time."""
    slowness: float = 1.0
    """Current service time as a multiple of the normal one; 1 is normal."""

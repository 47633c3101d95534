"""Reports of targets that crashed while they ran a request."""

import dataclasses
from typing import final

from turmericmast.ids import Fingerprint, Millis


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """Count a crash of a target while it ran a request."""

    fingerprint: Fingerprint
    """Identifies the request."""
    at_ms: Millis
    """Wall clock of the instance that reports the crash."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRecord:
    """A request on which targets crashed."""

    fingerprint: Fingerprint
    """Identifies the request."""
    crashes: int
    until_ms: Millis
    """Wall clock at which the record expires."""

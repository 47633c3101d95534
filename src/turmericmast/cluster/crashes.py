"""The report of a target that crashed while it ran a request."""

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

"""Quarantine of requests that crash their targets."""

from collections.abc import Iterable
from typing import final

from turmericmast.cluster.crashes import SuspectRecord
from turmericmast.ids import Fingerprint, Millis
from turmericmast.units import MILLIS_PER_SECOND

CRASH_LIMIT = 3
"""Crashes from which a request is refused.

A lower limit would refuse harmless requests that were running when several
targets were lost together."""


@final
class Quarantine:
    """The suspect requests that the core reported to this edge."""

    def __init__(self) -> None:
        """Create an empty quarantine."""
        self._suspect_by_fingerprint: dict[Fingerprint, SuspectRecord] = {}

    def update(self, suspects: Iterable[SuspectRecord]) -> None:
        """Add or replace records."""
        self._suspect_by_fingerprint.update(
            {suspect.fingerprint: suspect for suspect in suspects},
        )

    def has_suspects(self, wall_ms: Millis) -> bool:
        """Tell whether any request is suspect, after dropping expired records.

        Otherwise requests need not be checked. ``wall_ms`` is the wall clock.
        """
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            if suspect.until_ms <= wall_ms
        ]
        for fingerprint in expired:
            self._suspect_by_fingerprint.pop(fingerprint)
        return bool(self._suspect_by_fingerprint)

    def is_suspect(self, request: Fingerprint) -> bool:
        """Tell whether a target has crashed on a request."""
        return request in self._suspect_by_fingerprint

    def time_left(self, request: Fingerprint, wall_ms: Millis) -> float:
        """Return the seconds for which a request is refused, 0 if it is not."""
        suspect = self._suspect_by_fingerprint.get(request)
        if suspect is None or suspect.crashes < CRASH_LIMIT:
            return 0
        return max(suspect.until_ms - wall_ms, 0) / MILLIS_PER_SECOND

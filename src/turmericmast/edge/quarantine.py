"""Requests that an edge does not send, since targets crash on them."""

from collections.abc import Iterable
from typing import final

from turmericmast.cluster.records import SuspectRecord
from turmericmast.ids import Fingerprint, Millis
from turmericmast.units import MILLIS_PER_SECOND

MAX_CRASHES = 3
"""Targets that a request may crash before it is refused.

Fewer would refuse requests that ran when their targets were lost together."""


@final
class Quarantine:
    """What the core told of requests whose targets crashed."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._suspect_by_fingerprint: dict[Fingerprint, SuspectRecord] = {}

    def take(self, suspects: Iterable[SuspectRecord]) -> None:
        """Take records that are new or have changed."""
        self._suspect_by_fingerprint.update(
            {suspect.fingerprint: suspect for suspect in suspects},
        )

    def has_suspects(self, wall_ms: Millis) -> bool:
        """Tell whether requests have to be looked at before they are sent."""
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspect_by_fingerprint.items()
            if suspect.until_ms <= wall_ms
        ]
        for fingerprint in expired:
            self._suspect_by_fingerprint.pop(fingerprint)
        return bool(self._suspect_by_fingerprint)

    def left(self, request: Fingerprint, wall_ms: Millis) -> float:
        """Return the seconds for which a request must not be sent."""
        suspect = self._suspect_by_fingerprint.get(request)
        if suspect is None or suspect.crashes < MAX_CRASHES:
            return 0
        return max(suspect.until_ms - wall_ms, 0) / MILLIS_PER_SECOND

"""The renewals a leader has seen; kept in memory only."""

import sys
from collections.abc import Iterable
from typing import final

from turmericmast.ids import Index, InstanceId, Seconds, Version

LEASE_LENGTH = 3.0
"""Seconds that an entry may work after it sent a renewal."""
SESSION_EXPIRY = 3.4
"""Seconds after the receipt of a renewal at which a session is over."""
NO_SESSION_INDEX = sys.maxsize
"""What is in force where there is nobody to tell."""
RENEW_INTERVAL = 1.0
"""Seconds between two renewals."""


@final
class RenewalTracker:
    """Who renewed when, and what each entry has in force."""

    def __init__(self) -> None:
        """Start without any renewal."""
        self._renewed_by_instance: dict[InstanceId, Seconds] = {}
        self._index_by_instance: dict[InstanceId, Index] = {}
        self._version_by_instance: dict[InstanceId, Version] = {}

    def start_leadership(
        self,
        instances: Iterable[InstanceId],
        now: Seconds,
    ) -> None:
        """Treat each known session as fresh: its renewals are not known."""
        self._renewed_by_instance = dict.fromkeys(instances, now)
        self._index_by_instance.clear()
        self._version_by_instance.clear()

    def renew(
        self,
        instance: InstanceId,
        index: Index,
        version: Version,
        now: Seconds,
    ) -> None:
        """Note a renewal, and what the entry has in force."""
        self._renewed_by_instance[instance] = now
        self._index_by_instance[instance] = index
        self._version_by_instance[instance] = version

    def forget(self, instance: InstanceId) -> None:
        """Forget a closed session."""
        self._renewed_by_instance.pop(instance, None)
        self._index_by_instance.pop(instance, None)
        self._version_by_instance.pop(instance, None)

    def expired(
        self,
        instances: Iterable[InstanceId],
        now: Seconds,
    ) -> list[InstanceId]:
        """Return the sessions whose entry cannot hold a lease any more."""
        return [
            instance
            for instance in instances
            if now - self._renewed_by_instance.setdefault(instance, now)
            > SESSION_EXPIRY
        ]

    def index_in_force(self, instances: Iterable[InstanceId]) -> int:
        """Return the index that every session has seen."""
        return min(
            (self._index_by_instance.get(one, 0) for one in instances),
            default=NO_SESSION_INDEX,
        )

    def version_in_force(
        self,
        instances: Iterable[InstanceId],
        newest: Version,
    ) -> Version:
        """Return the fleet version that every session has in force."""
        seen = (self._version_by_instance.get(one, 0) for one in instances)
        return Version(min(seen, default=newest))

"""Session renewals that a leader has received; kept in memory only."""

import sys
from collections.abc import Iterable
from typing import final

from turmericmast.ids import Index, InstanceId, Seconds, Version

LEASE_LENGTH = 3.0
"""Seconds after sending a renewal for which the lease of an entry is valid."""
SESSION_EXPIRY = 3.4
"""Seconds after receiving a renewal at which the leader ends a session.

This is longer than the lease, so that the entry stops first.
"""
NO_SESSION_INDEX = sys.maxsize
"""The index in force when there are no sessions to wait for."""
RENEW_INTERVAL = 1.0
"""Seconds between renewals of an entry."""


@final
class RenewalTracker:
    """Tracks when each entry renewed and which state it has applied."""

    def __init__(self) -> None:
        """Start with no renewals received."""
        self._renewed_at_by_instance: dict[InstanceId, Seconds] = {}
        self._index_by_instance: dict[InstanceId, Index] = {}
        self._version_by_instance: dict[InstanceId, Version] = {}

    def start_leadership(
        self,
        instances: Iterable[InstanceId],
        now: Seconds,
    ) -> None:
        """Treat all known sessions as just renewed.

        A new leader has not seen the renewals sent to its predecessor.
        """
        self._renewed_at_by_instance = dict.fromkeys(instances, now)
        self._index_by_instance.clear()
        self._version_by_instance.clear()

    def renew(
        self,
        instance: InstanceId,
        index: Index,
        version: Version,
        now: Seconds,
    ) -> None:
        """Record a renewal with the index and fleet version of the entry."""
        self._renewed_at_by_instance[instance] = now
        self._index_by_instance[instance] = index
        self._version_by_instance[instance] = version

    def forget(self, instance: InstanceId) -> None:
        """Remove a closed session."""
        self._renewed_at_by_instance.pop(instance, None)
        self._index_by_instance.pop(instance, None)
        self._version_by_instance.pop(instance, None)

    def expired(
        self,
        instances: Iterable[InstanceId],
        now: Seconds,
    ) -> list[InstanceId]:
        """Return the sessions whose entry can no longer hold a lease."""
        return [
            instance
            for instance in instances
            if now - self._renewed_at_by_instance.setdefault(instance, now)
            > SESSION_EXPIRY
        ]

    def index_in_force(self, instances: Iterable[InstanceId]) -> int:
        """Return the highest index that every session has applied.

        It is 0 until each of them has renewed at this leader, and
        ``NO_SESSION_INDEX`` without sessions.
        """
        return min(
            (
                self._index_by_instance.get(instance, 0)
                for instance in instances
            ),
            default=NO_SESSION_INDEX,
        )

    def version_in_force(
        self,
        instances: Iterable[InstanceId],
        newest: Version,
    ) -> Version:
        """Return the highest fleet version that every session has in force.

        It is 0 until each of them has renewed at this leader, and ``newest``
        without sessions.
        """
        versions = (
            self._version_by_instance.get(instance, 0) for instance in instances
        )
        return Version(min(versions, default=newest))

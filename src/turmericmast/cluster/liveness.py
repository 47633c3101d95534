"""Failure detection by silence, as the leader of the core group does it."""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar, final

from turmericmast.ids import Seconds

Key = TypeVar('Key', bound=Hashable)


@final
class LivenessTracker(Generic[Key]):
    """When each instance or target was last known to be alive.

    Kept in memory only, not replicated.
    """

    def __init__(self, timeout: float) -> None:
        """Treat a key as silent after ``timeout`` seconds without a sign."""
        self._timeout = timeout
        self._heard_at_by_key: dict[Key, Seconds] = {}

    def record_alive(self, keys: Iterable[Key], now: Seconds) -> None:
        """Record that keys are alive now."""
        self._heard_at_by_key.update(dict.fromkeys(keys, now))

    def start_leadership(self, keys: Iterable[Key], now: Seconds) -> None:
        """Treat all keys as alive now.

        Called when this member becomes leader, since earlier signs of life
        went to the previous one, and when the leader has stalled.
        """
        self._heard_at_by_key = dict.fromkeys(keys, now)

    def silence(self, key: Key, now: Seconds) -> float:
        """Return the seconds since the last sign of life of a known key."""
        return now - self._heard_at_by_key.get(key, now)

    def silent(self, keys: Iterable[Key], now: Seconds) -> tuple[Key, ...]:
        """Return the silent ones of ``keys``, and forget keys not listed.

        A key without any sign of life counts as alive now.
        """
        heard_at = {key: self._heard_at_by_key.get(key, now) for key in keys}
        self._heard_at_by_key = heard_at
        return tuple(
            key for key, at in heard_at.items() if now - at > self._timeout
        )

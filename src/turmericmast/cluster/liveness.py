"""Who was heard from, as the leader of the core group knows."""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar, final

from turmericmast.ids import Seconds

Key = TypeVar('Key', bound=Hashable)


@final
class LivenessTracker(Generic[Key]):
    """Times of the last sign of life; kept in memory only."""

    def __init__(self, timeout: float) -> None:
        """Call silent whoever was not heard for ``patience`` seconds."""
        self._timeout = timeout
        self._heard_at_by_key: dict[Key, Seconds] = {}

    def record_alive(self, keys: Iterable[Key], now: Seconds) -> None:
        """Note signs of life."""
        self._heard_at_by_key.update(dict.fromkeys(keys, now))

    def start_leadership(self, keys: Iterable[Key], now: Seconds) -> None:
        """Treat everyone as just heard: earlier signs went to another."""
        self._heard_at_by_key = dict.fromkeys(keys, now)

    def silent(self, keys: Iterable[Key], now: Seconds) -> tuple[Key, ...]:
        """Return those of ``keys`` that are silent, and forget the others."""
        heard_at = {key: self._heard_at_by_key.get(key, now) for key in keys}
        self._heard_at_by_key = heard_at
        return tuple(
            key for key, at in heard_at.items() if now - at > self._timeout
        )

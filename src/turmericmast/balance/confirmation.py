"""A target's own statement that it is up, and whether it is cold."""

import math
from typing import final

from turmericmast.ids import Seconds

VERIFICATION_LIFETIME = 1.0
"""Seconds for which a target's own statement that it is up remains valid."""


@final
class Confirmation:
    """The newest confirmation of one target, and what was sent since."""

    def __init__(self) -> None:
        """Begin without a confirmation."""
        self.is_own = False
        """Whether the target gave it to this instance, not to another."""
        self.most_requests = math.inf
        """Requests after which the target must confirm again."""
        self._requests = 0
        """Requests since the confirmation: own and announced ones."""
        self._received_at = -math.inf
        self._cold_until = -math.inf

    def renew(
        self, cold_time_left: Seconds, now: Seconds, *, is_own: bool
    ) -> None:
        """Record a confirmation of ``now``: cold for so many seconds, or 0."""
        self.is_own = is_own
        self._requests = 0
        self._received_at = now
        self._cold_until = (
            now + cold_time_left if cold_time_left > 0 else -math.inf
        )

    def withdraw(self) -> None:
        """Forget that the target is up; it stays cold if it is."""
        self._received_at = -math.inf

    def forget(self) -> None:
        """Forget all of it."""
        self.withdraw()
        self._cold_until = -math.inf

    def count_request(self) -> None:
        """Count a request that is about to be sent."""
        self._requests += 1

    def age(self, now: Seconds) -> float:
        """Return the seconds since the confirmation."""
        return now - self._received_at

    def cold_time_left(self, now: Seconds) -> float:
        """Return the seconds until the target is warm, 0 if it is."""
        return max(self._cold_until - now, 0)

    def is_valid(self, now: Seconds) -> bool:
        """Tell whether the target may get requests without another one."""
        is_recent = self.age(now) <= VERIFICATION_LIFETIME
        return is_recent and self._requests < self.most_requests

    def is_half_used(self) -> bool:
        """Tell whether half of the requests that it allows were sent."""
        return 2 * self._requests >= self.most_requests

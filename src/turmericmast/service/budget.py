"""The retry budget, which limits retries to a share of the calls."""

from typing import final


@final
class RetryBudget:
    """A token bucket: first attempts deposit a fraction, retries take one."""

    def __init__(self, ratio: float, reserve: float = 5.0) -> None:
        """Start with ``reserve`` tokens, which is also the capacity.

        The reserve lets a service with few calls retry at all. ``ratio`` is
        the number of retries that one first attempt adds.
        """
        self.ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Add ``ratio`` tokens for a first attempt."""
        self._tokens = min(self._tokens + self.ratio, self._reserve)

    def try_withdraw(self) -> bool:
        """Take a token for a retry; return false when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

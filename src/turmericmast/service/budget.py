"""A budget that keeps retries a small share of the calls."""

from typing import final


@final
class RetryBudget:
    """Each first attempt adds a fraction of a token; a retry takes one."""

    def __init__(self, ratio: float, reserve: float = 5.0) -> None:
        """Start with a full reserve, so that a quiet service may retry."""
        self.ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + self.ratio, self._reserve)

    def try_withdraw(self) -> bool:
        """Take a token for a retry, or tell that there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

"""The budget of one instance for repeats, a part of what all share."""

from typing import final

RATIO_SHARE = 0.75
"""Share of the permitted ratio that is spent, for counts that differ."""
SLACK_SHARE = 0.7
"""Share of the permitted slack that all instances together may spend."""


@final
class SharedRetryBudget:
    """Tokens that requests earn and repeats cost.

    In any window an instance spends at most its capacity and what the
    requests of that window earned, so that all instances together stay
    within the ratio and the slack without asking each other.
    """

    def __init__(self, ratio: float) -> None:
        """Earn a part of ``ratio`` with each request."""
        self._earned = ratio * RATIO_SHARE
        self._capacity = float(0)
        self._tokens = float(0)

    def set_share(self, slack: float, instances: int) -> None:
        """Take this instance's part of the slack."""
        capacity = slack * SLACK_SHARE / max(instances, 1)
        self._tokens += max(capacity - self._capacity, 0)
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def deposit(self) -> None:
        """Count a request of a caller."""
        self._tokens = min(self._tokens + self._earned, self._capacity)

    def try_withdraw(self) -> bool:
        """Take a token for a repeat, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

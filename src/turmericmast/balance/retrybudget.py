"""One instance's part of the retry budget that all instances share."""

from typing import final

RATIO_SHARE = 0.75
"""Fraction of the permitted retry ratio that is used.

The rest allows for differences in how requests are counted."""
SLACK_SHARE = 0.7
"""Fraction of the permitted slack that all instances together may use."""


@final
class SharedRetryBudget:
    """A token bucket that requests fill, and that retries and hedges drain.

    In any window an instance spends at most its capacity plus what the
    requests of that window deposited. So all instances together stay within
    the ratio and the slack without coordination.
    """

    def __init__(self, ratio: float) -> None:
        """Begin empty; ``ratio`` is the permitted retries for each request."""
        self._tokens_per_request = ratio * RATIO_SHARE
        self._capacity = float(0)
        self._tokens = float(0)

    def set_share(self, slack: float, instances: int) -> None:
        """Set the capacity to this instance's part of the slack.

        ``slack`` is the number of retries beyond the ratio that ``instances``
        instances together may make in one window.
        """
        capacity = slack * SLACK_SHARE / max(instances, 1)
        self._tokens += max(capacity - self._capacity, 0)
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def deposit(self) -> None:
        """Add a fraction of a token for a request of a caller."""
        self._tokens = min(
            self._tokens + self._tokens_per_request, self._capacity
        )

    def try_withdraw(self) -> bool:
        """Take a token for a retry or hedge; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

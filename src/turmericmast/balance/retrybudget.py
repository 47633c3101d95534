"""One instance's part of the retry budget that all instances share."""

from typing import final

from turmericmast.clock import LONG_AGO
from turmericmast.ids import Seconds

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

    def __init__(
        self,
        ratio: float,
        rank: float = 0,
        usable_from: Seconds = LONG_AGO,
    ) -> None:
        """Begin empty; ``ratio`` is the permitted retries for each request.

        ``rank``, from 0 to 1, is different at each instance. Before
        ``usable_from`` only deposits are spent: the process that ran here
        before may just have spent this instance's part of the slack.
        """
        self._tokens_per_request = ratio * RATIO_SHARE
        self._rank = rank
        self._usable_from = usable_from
        self._capacity = float(0)
        self._tokens = float(0)
        self._is_filled = False
        """Whether the part of the slack was added to the tokens."""

    def set_share(self, slack: float, instances: int) -> None:
        """Set the capacity to this instance's part of the slack.

        ``slack`` is the number of retries beyond the ratio that ``instances``
        instances together may make in one window. Where it does not suffice
        for a whole token each, those of the lowest ranks get one. When other
        instances are lost, the tokens of this one grow by deposits only.
        """
        share = slack * SLACK_SHARE / max(instances, 1)
        if share < 1:
            share = 1 if self._rank < share else 0
        self._capacity = share
        self._tokens = min(self._tokens, share)

    def deposit(self, now: Seconds) -> None:
        """Add a fraction of a token for a request of a caller."""
        self._fill(now)
        self._tokens = min(
            self._tokens + self._tokens_per_request, self._capacity
        )

    def try_withdraw(self, now: Seconds) -> bool:
        """Take a token for a retry or hedge; return whether there was one."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, now: Seconds) -> None:
        is_fillable = self._capacity and now >= self._usable_from
        if is_fillable and not self._is_filled:
            self._is_filled = True
            self._tokens = self._capacity

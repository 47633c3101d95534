"""One instance's part of the retry budget that all instances share."""

import collections
import dataclasses
from typing import final

from turmericmast.clock import LONG_AGO
from turmericmast.ids import Seconds

RATIO_SHARE = 0.75
"""Fraction of the permitted retry ratio that is used.

The rest allows for differences in how requests are counted."""
SLACK_SHARE = 0.7
"""Fraction of the permitted slack that all instances together may use."""
RETURN_AFTER = 1.1
"""Windows after which a spent token is usable again.

A retry arrives at its target some time after its token was spent."""
DEFAULT_WINDOW = Seconds(10)
"""Time in seconds over which the users count retries."""
FULL_TOKEN = 0.999
"""Fraction of a token that suffices for a retry, as sums are rounded."""


@final
@dataclasses.dataclass(slots=True)
class _Debt:
    """Tokens that are not usable until a time, unless requests repay them."""

    ends_at: float
    tokens: float


@final
class SharedRetryBudget:
    """The tokens of one instance, each of which permits a retry or a hedge.

    A spent token is usable again after a window, or earlier if requests repay
    it. In any window an instance so spends at most its share of the slack plus
    what the requests of that window repaid, and all instances together stay
    within the ratio and the slack without coordination.
    """

    def __init__(
        self,
        ratio: float,
        rank: float = 0,
        usable_from: Seconds = LONG_AGO,
        window: Seconds = DEFAULT_WINDOW,
    ) -> None:
        """Begin with no share; ``ratio`` is the retries for each request.

        ``rank``, from 0 to 1, is different at each instance. Before
        ``usable_from`` only what requests repay is spent: the process that
        ran here before may just have spent this instance's share.
        """
        self._tokens_per_request = ratio * RATIO_SHARE
        self._rank = rank
        self._usable_from = usable_from
        self._return_after = window * RETURN_AFTER
        self._has_share = False
        """Whether the share was set, if only to 0."""
        self._share = float(0)
        self._growth = float(0)
        """Tokens that the share has gained since the last use."""
        self._debts: collections.deque[_Debt] = collections.deque()
        """Unusable tokens; those that are usable first come first."""

    def share_slack(self, slack: float, instances: int) -> None:
        """Set this instance's share of the slack.

        ``slack`` is the number of retries beyond the ratio that ``instances``
        instances together may make in one window. Where it does not suffice
        for a whole token each, those of the lowest ranks get one. Tokens that
        are gained when other instances are lost are usable a window later:
        those instances may just have spent them.
        """
        share = slack * SLACK_SHARE / max(instances, 1)
        if share < 1:
            share = 1 if self._rank < share else 0
        if self._has_share:
            self._growth = max(self._growth + share - self._share, 0)
        else:
            self._has_share = True
            self._debts.append(_Debt(self._usable_from, share))
        self._share = share

    @property
    def share(self) -> float:
        """Return the tokens of this instance that serve in each window."""
        return self._share

    def usable(self, now: Seconds) -> float:
        """Return the tokens that are usable now."""
        self._settle(now)
        return self._share - sum(debt.tokens for debt in self._debts)

    def deposit(self, now: Seconds) -> None:
        """Repay a fraction of a token for a request of a caller."""
        self._settle(now)
        rest = self._tokens_per_request
        while self._debts and rest > 0:
            debt = self._debts[0]
            repaid = min(debt.tokens, rest)
            debt.tokens -= repaid
            rest -= repaid
            if debt.tokens <= 0:
                self._debts.popleft()

    def try_withdraw(self, now: Seconds) -> bool:
        """Take a token for a retry or hedge; return whether there was one."""
        if self.usable(now) < FULL_TOKEN:
            return False
        self._debts.append(_Debt(now + self._return_after, 1))
        return True

    def _settle(self, now: Seconds) -> None:
        """Forget debts that have ended, and owe what the share has gained."""
        if self._growth:
            self._debts.append(_Debt(now + self._return_after, self._growth))
            self._growth = 0
        while self._debts and self._debts[0].ends_at <= now:
            self._debts.popleft()

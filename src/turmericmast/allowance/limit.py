"""The limit of an account, as the bucket of the leader applies it."""

import dataclasses
import math
from typing import final

from turmericmast.account.account import Account
from turmericmast.ids import Seconds
from turmericmast.instancesettings import Bounds

TOKEN_LIFETIME = 0.3
"""Seconds from sending an ask until the edge drops the tokens it brought."""
MAX_TOKEN_WAIT = 0.15
"""Longest time in seconds that a request waits for its token.

Together with ``TOKEN_LIFETIME`` it is below the 0.5 s of the rate that the
default overage of 10 % in a window of 5 s leaves."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Ceiling:
    """The most tokens that may be granted within any time span."""

    tokens: float = math.inf
    span: Seconds = Seconds(0)
    """Length of the span in seconds."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """How many tokens an account may get over all instances."""

    rate: float
    """Tokens a second; above 0."""
    burst: float
    """Tokens beyond the rate that the account may use at once."""
    reserve: float
    """Tokens beyond the burst.

    They cover those that no request uses, so that an account within its limit
    is not refused."""
    regain: float = 0
    """Tokens a second, beside the rate, by which the burst comes back.

    The limit of a window includes the burst, so that an account may use it in
    each window."""
    ceiling: Ceiling = Ceiling()
    """What the rate, the burst and its regain may not exceed together."""

    @property
    def refill(self) -> float:
        """Return the tokens a second that become free."""
        return self.rate + self.regain

    @property
    def debt(self) -> float:
        """Return the tokens beyond the capacity that a new leader begins with.

        Any number of seconds of the span may belong to the leader before. It
        granted up to its capacity and its refill in them, but no more than the
        ceiling. With the debt, both together stay below the ceiling.
        """
        most = self.refill * self.ceiling.span + self.capacity
        return max(most - self.ceiling.tokens, 0)

    @property
    def capacity(self) -> float:
        """Return the most tokens that may be granted at once."""
        return self.burst + self.reserve


def limit_of(account: Account, bounds: Bounds) -> Limit | None:
    """Return the limit of an account, ``None`` if it has none.

    The requests sent in a window use tokens that were granted within
    ``TOKEN_LIFETIME`` before it and ``MAX_TOKEN_WAIT`` after it. The capacity
    is what the bound on a window leaves for the burst then.
    """
    if account.rate <= 0:
        return None
    extra_time = TOKEN_LIFETIME + MAX_TOKEN_WAIT
    allowed = account.rate * bounds.quota_window + account.burst
    overage = allowed * bounds.quota_overage + bounds.quota_slack
    # At least one token fits, or no request would ever be served.
    reserve = max(overage - account.rate * extra_time, 1 - account.burst)
    return Limit(
        account.rate,
        account.burst,
        reserve,
        account.burst / bounds.quota_window,
        Ceiling(
            max(allowed + overage, 1), Seconds(bounds.quota_window + extra_time)
        ),
    )

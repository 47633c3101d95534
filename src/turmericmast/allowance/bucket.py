"""The token bucket of one account, at the leader."""

import math
from typing import final

from turmericmast.allowance.grantlog import GrantLog
from turmericmast.allowance.limit import Limit
from turmericmast.ids import Seconds

RETURN_SPAN = 0.6
"""Seconds for which the bucket remembers its lowest level at least.

Tokens come back at most 0.5 s after they were asked for, and the way."""


@final
class Bucket:
    """Counts the tokens in use: grants raise the level, time lowers it.

    What is granted in any time span is at most the capacity and what the refill
    allows in that span, and the ceiling of the limit.
    """

    def __init__(self, limit: Limit, level: float, now: Seconds) -> None:
        """Begin with a number of tokens in use, at most with the debt."""
        self.limit = limit
        self._level = min(max(level, 0), limit.capacity + limit.debt)
        self._carried = float(0)
        """Tokens beyond the capacity, granted under a higher limit."""
        self._carried_until = now
        self._updated_at = now
        self._granted = GrantLog()
        self._lowest = self._level
        self._earlier_lowest = self._level
        self._lowest_since = now

    def free(self, now: Seconds) -> float:
        """Return the tokens that may be granted now."""
        self._advance(now)
        return min(
            self.limit.capacity - self._level - self._carried,
            self.limit.ceiling.tokens
            - self._granted.count(now, self.limit.ceiling.span),
        )

    def take(self, needed: int, spare: int, now: Seconds) -> int:
        """Return how many tokens are granted.

        Spare ones are granted only from the burst, down to half of the
        capacity, so that those that are not used take nothing from others.
        """
        free = self.free(now)
        granted = min(needed, max(int(free), 0))
        if granted == needed:
            room = free - granted - self.limit.capacity / 2
            granted += min(spare, max(int(room), 0))
        self._level += granted
        self._granted.add(granted, now)
        if granted:
            self._lowest = min(self._lowest, self._level)
        return granted

    def give_back(self, tokens: int, now: Seconds) -> None:
        """Take back tokens that no request has used.

        Only as many count as were in use all the time since the first grant
        within ``RETURN_SPAN``: for others, time may have made room already.
        """
        self._advance(now)
        lowest = min(self._lowest, self._earlier_lowest, self._level)
        counted = min(max(tokens, 0), lowest)
        self._level -= counted
        self._granted.remove(counted, Seconds(now - RETURN_SPAN))
        self._lowest -= counted
        self._earlier_lowest -= counted

    def time_until(self, tokens: float, now: Seconds) -> Seconds:
        """Return the seconds until so many tokens are free."""
        missing = tokens - self.free(now)
        if missing <= 0:
            return Seconds(0)
        ceiling = self.limit.ceiling
        return Seconds(
            max(
                missing / self.limit.refill,
                self._granted.time_until(
                    ceiling.tokens - tokens, now, ceiling.span
                ),
            )
        )

    def change(self, limit: Limit, window: Seconds, now: Seconds) -> None:
        """Apply another limit.

        Tokens in use beyond a lower capacity count for one window more. So
        lowering and raising a limit frees none.
        """
        self._advance(now)
        in_use = self._level + self._carried
        self.limit = limit
        self._level = min(in_use, limit.capacity)
        self._carried = in_use - self._level
        self._carried_until = Seconds(now + window)
        self._lowest = min(self._lowest, self._level)
        self._earlier_lowest = min(self._earlier_lowest, self._level)

    def _advance(self, now: Seconds) -> None:
        elapsed = max(now - self._updated_at, 0)
        self._updated_at = max(now, self._updated_at)
        self._level = max(self._level - elapsed * self.limit.refill, 0)
        if now >= self._carried_until:
            self._carried = 0
        self._follow_lowest(now)

    def _follow_lowest(self, now: Seconds) -> None:
        """Keep the lowest level since the first grant that may come back.

        Infinity while there is none.
        """
        if now - self._lowest_since >= 2 * RETURN_SPAN:
            self._lowest = math.inf
        if now - self._lowest_since >= RETURN_SPAN:
            self._lowest_since = now
            self._earlier_lowest = self._lowest
            # Grants of the span before may still come back.
            self._lowest = self._level if self._lowest < math.inf else math.inf
        elif self._lowest < math.inf:
            self._lowest = min(self._lowest, self._level)

"""When tokens were granted."""

import collections
import dataclasses
from typing import final

from turmericmast.ids import Seconds

SLOT = 0.05
"""Seconds of grants that are counted together, as at the time of the last."""


@final
@dataclasses.dataclass(slots=True)
class _Slot:
    began_at: Seconds
    last_at: Seconds
    tokens: float


@final
class GrantLog:
    """The tokens granted in the last seconds, in slots."""

    def __init__(self) -> None:
        """Begin without grants."""
        self._slots: collections.deque[_Slot] = collections.deque()
        self._total = float(0)

    def count(self, now: Seconds, span: Seconds) -> float:
        """Return the tokens granted in the last ``span`` seconds."""
        while self._slots and self._slots[0].last_at <= now - span:
            self._total -= self._slots.popleft().tokens
        return self._total

    def add(self, tokens: int, now: Seconds) -> None:
        """Record a grant."""
        if not tokens:
            return
        last = self._slots[-1] if self._slots else None
        if last is None or now >= last.began_at + SLOT:
            last = _Slot(now, now, 0)
            self._slots.append(last)
        last.last_at = max(last.last_at, now)
        last.tokens += tokens
        self._total += tokens

    def remove(self, tokens: float, since: Seconds) -> None:
        """Take back tokens that were granted at ``since`` or later.

        Which grants they belong to is not known; the oldest are reduced, since
        newer ones count for longer.
        """
        for slot in self._slots:
            if tokens <= 0:
                return
            if slot.last_at >= since:
                taken = min(tokens, slot.tokens)
                slot.tokens -= taken
                self._total -= taken
                tokens -= taken

    def time_until(self, tokens: float, now: Seconds, span: Seconds) -> Seconds:
        """Return the seconds until at most so many tokens are counted."""
        excess = self.count(now, span) - tokens
        for slot in self._slots:
            if excess <= 0:
                break
            excess -= slot.tokens
            if excess <= 0:
                return Seconds(max(slot.last_at + span - now, 0))
        return Seconds(0)

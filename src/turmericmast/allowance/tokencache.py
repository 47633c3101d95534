"""The tokens of one account that an edge holds."""

import collections
import dataclasses
import enum
import math
from typing import final

from turmericmast.allowance.limit import TOKEN_LIFETIME
from turmericmast.allowance.tokens import TokenDemand, TokenGrant
from turmericmast.ids import Seconds, TenantId
from turmericmast.units import MILLIS_PER_SECOND

EXPECTED_SPAN = 0.1
"""Seconds of expected requests for which tokens are asked for in advance."""
RATE_SPAN = 0.5
"""Seconds over which the rate of requests is averaged.

With 0.2 s, a burst of 147 requests was taken for a rate of 735 a second."""
NO_SPARE_SECONDS = 0.5
"""Seconds without spare tokens after none were granted."""
MAX_RETURN_AGE = 0.5
"""Seconds from sending an ask until its tokens are not given back.

The leader remembers the tokens in use for a second."""


@final
class Draw(enum.Enum):
    """What a request is told that wants a token."""

    granted = 'granted'
    asked = 'asked'
    """It waits for the answer of an ask."""
    refused = 'refused'
    """The account is over its limit."""
    filling = 'filling'
    """The leader is new and has no tokens yet; it waits for one."""


@final
@dataclasses.dataclass(slots=True)
class Lease:
    """Tokens of one grant."""

    sent_at: Seconds
    """When the ask was sent that brought them, by the clock of the edge."""
    tokens: int

    @property
    def expires_at(self) -> Seconds:
        """Return until when the tokens may be used."""
        return Seconds(self.sent_at + TOKEN_LIFETIME)


@final
class TokenCache:
    """Tokens, refusals and expected requests of one account at one edge."""

    def __init__(self, account: TenantId) -> None:
        """Begin without tokens."""
        self.account = account
        self.waiting = 0
        """Requests that wait for a token."""
        self._leases: collections.deque[Lease] = collections.deque()
        self._asked = 0
        """Tokens of asks without an answer, spare ones included."""
        self._no_spare_until = -math.inf
        self._refused_until = -math.inf
        self._is_filling = False
        self._returned: collections.deque[Lease] = collections.deque()
        self._rate = float(0)
        self._rate_at = -math.inf

    def arrive(self, now: Seconds) -> None:
        """Count a request towards the expected ones."""
        elapsed = max(now - self._rate_at, 0)
        self._rate = self._rate * math.exp(-elapsed / RATE_SPAN) + 1 / RATE_SPAN
        self._rate_at = now

    def draw(self, now: Seconds) -> tuple[Draw, Lease | None]:
        """Take a token; else tell why there is none."""
        self.expire(now)
        if self._leases:
            lease = self._leases[0]
            lease.tokens -= 1
            if not lease.tokens:
                self._leases.popleft()
            return Draw.granted, Lease(lease.sent_at, 1)
        if now >= self._refused_until:
            return Draw.asked, None
        return (Draw.filling if self._is_filling else Draw.refused), None

    def give_back(self, lease: Lease, now: Seconds) -> None:
        """Take back a token whose request was not run."""
        if now < lease.expires_at:
            self._leases.appendleft(Lease(lease.sent_at, lease.tokens))

    def refusal_left(self, now: Seconds) -> Seconds:
        """Return the seconds for which requests are refused without an ask."""
        return Seconds(max(self._refused_until - now, 0))

    def expire(self, now: Seconds) -> None:
        """Drop the tokens that have expired, to give them back."""
        if not self._leases:
            return
        expired = [held for held in self._leases if now >= held.expires_at]
        if expired:
            self._returned.extend(expired)
            self._leases = collections.deque(
                held for held in self._leases if now < held.expires_at
            )

    def make_demand(self, now: Seconds) -> TokenDemand | None:
        """Return what to ask for, ``None`` if there is nothing to ask."""
        self.expire(now)
        held = sum(lease.tokens for lease in self._leases)
        needed = max(self.waiting - self._asked - held, 0)
        if now < self._refused_until:
            needed = 0
        returned = self._take_returned(now)
        if not needed and not returned:
            return None
        spare = self._expected(now) if needed else 0
        self._asked += needed + spare
        return TokenDemand(self.account, needed, spare, returned)

    def receive(
        self,
        demand: TokenDemand,
        grant: TokenGrant,
        sent_at: Seconds,
        now: Seconds,
    ) -> None:
        """Take what a member granted to a demand that was sent at a time.

        A refusal that comes as late as tokens that have expired says nothing
        of the present.
        """
        if grant.tokens > 0:
            self._leases.append(Lease(sent_at, grant.tokens))
        if demand.spare and grant.tokens <= demand.needed:
            # Requests behind this ask would wait for spare tokens in vain.
            self._no_spare_until = now + NO_SPARE_SECONDS
        if grant.wait_ms and now < sent_at + TOKEN_LIFETIME:
            self._refused_until = now + grant.wait_ms / MILLIS_PER_SECOND
            self._is_filling = grant.filling

    def end(self, demand: TokenDemand) -> None:
        """End a demand whose answer has come, or is not waited for."""
        self._asked = max(self._asked - demand.needed - demand.spare, 0)

    def _expected(self, now: Seconds) -> int:
        if now < self._no_spare_until:
            return 0
        elapsed = max(now - self._rate_at, 0)
        rate = self._rate * math.exp(-elapsed / RATE_SPAN)
        # One request alone does not tell of a rate.
        return int(max(rate - 1 / RATE_SPAN, 0) * EXPECTED_SPAN)

    def _take_returned(self, now: Seconds) -> int:
        returned = sum(
            lease.tokens
            for lease in self._returned
            if now < lease.sent_at + MAX_RETURN_AGE
        )
        self._returned.clear()
        return returned

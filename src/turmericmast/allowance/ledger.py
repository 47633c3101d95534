"""The buckets of all accounts, at the leader of the core."""

import math
from collections.abc import Mapping
from typing import final

from turmericmast.allowance.bucket import Bucket
from turmericmast.allowance.limit import Limit
from turmericmast.allowance.tokens import TokenDemand, TokenGrant
from turmericmast.ids import Seconds, TenantId
from turmericmast.units import MILLIS_PER_SECOND

MAX_REFUSAL_TIME = 0.5
"""Longest time in seconds that edges refuse without asking again.

It is longer only if it takes longer until one token is free."""
REFUSAL_SHARE = 0.75
"""Share of the reserve that becomes free while an account is refused.

The rest covers tokens that are in use but will come back."""
MIN_WAIT_MS = 20
"""Shortest time in milliseconds until an edge asks again; a round trip."""


@final
class TokenLedger:
    """Grants the tokens of all accounts while one member leads.

    It begins with all tokens in use: the leader before may have granted them.
    """

    def __init__(self, window: Seconds, now: Seconds) -> None:
        """Begin now, which must be after the lease of the leader before."""
        self._window = window
        self._began_at = now
        self._limit_by_account: Mapping[TenantId, Limit] = {}
        self._bucket_by_account: dict[TenantId, Bucket] = {}

    def use_limits(
        self, limit_by_account: Mapping[TenantId, Limit], now: Seconds
    ) -> None:
        """Apply the limits of another version of the configuration."""
        self._limit_by_account = limit_by_account
        for account, bucket in tuple(self._bucket_by_account.items()):
            limit = limit_by_account.get(account)
            if limit is None:
                self._bucket_by_account.pop(account)
            elif limit != bucket.limit:
                bucket.change(limit, self._window, now)

    def grant(self, demand: TokenDemand, now: Seconds) -> TokenGrant:
        """Answer a demand; all is granted to accounts without a limit."""
        bucket = self._find_bucket(demand.account)
        if bucket is None:
            return TokenGrant(demand.needed, 0, filling=False)
        bucket.give_back(demand.returned, now)
        granted = bucket.take(demand.needed, demand.spare, now)
        if granted >= demand.needed:
            return TokenGrant(granted, 0, filling=False)
        filling = now < self._began_at + self._window
        wait = _refusal_time(bucket, now, filling=filling)
        wait_ms = max(math.ceil(wait * MILLIS_PER_SECOND), MIN_WAIT_MS)
        return TokenGrant(granted, wait_ms, filling)

    def _find_bucket(self, account: TenantId) -> Bucket | None:
        limit = self._limit_by_account.get(account)
        if limit is None:
            return None
        bucket = self._bucket_by_account.get(account)
        if bucket is None:
            # Full when the ledger began; it has drained since.
            bucket = Bucket(limit, limit.capacity + limit.debt, self._began_at)
            self._bucket_by_account[account] = bucket
        return bucket


def _refusal_time(bucket: Bucket, now: Seconds, *, filling: bool) -> float:
    """Return the seconds for which an edge need not ask again.

    An account over its limit is refused until most of the reserve is free:
    the burst is in use until then, and few messages are sent. While
    the leader is new, an edge asks as soon as one token is free.
    """
    until_one = bucket.time_until(1, now)
    if filling:
        return until_one
    until_most = bucket.time_until(bucket.limit.reserve * REFUSAL_SHARE, now)
    return max(until_one, min(until_most, MAX_REFUSAL_TIME))

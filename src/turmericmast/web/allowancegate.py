"""Gets the tokens that requests of limited accounts need."""

import asyncio
import dataclasses
from typing import final

from returns.result import Failure, Result, Success

from turmericmast.account.account import Account
from turmericmast.allowance.limit import MAX_TOKEN_WAIT, TOKEN_LIFETIME
from turmericmast.allowance.tokencache import Draw, Lease, TokenCache
from turmericmast.balance.admission import RetryDelays
from turmericmast.clock import Clock
from turmericmast.ids import Seconds, TenantId
from turmericmast.metrics import Metrics
from turmericmast.web import accountrefusals
from turmericmast.web.problem import Problem
from turmericmast.web.tokenasker import Demands, TokenAsker, TokenSource
from turmericmast.wire.watchrequests import TellTokens

BATCH_INTERVAL = 0.005
"""Seconds between two asks of an edge."""
GOAL_SHARE = 0.6
"""Share of the latency goal for which a request may wait for its token."""
MIN_PATIENCE = 0.05
"""Seconds for which a request waits at least, whatever its goal."""
LOST_SECONDS = 1.0
"""Seconds without an answer after which requests do not wait for one."""
PROBE_INTERVAL = 0.1
"""Seconds between two asks that only find out whether a member answers."""


@final
@dataclasses.dataclass(slots=True)
class _Outage:
    """A time without answers."""

    began_at: Seconds
    probed_at: Seconds


@final
class AllowanceGate:
    """Draws tokens for requests, and asks the core for more."""

    def __init__(
        self,
        source: TokenSource,
        clock: Clock,
        metrics: Metrics,
        rank: float = 0,
    ) -> None:
        """Ask ``source``; ``rank`` is that of ``RetryDelays``."""
        self._source = source
        self._clock = clock
        self._metrics = metrics
        self._retry_delays = RetryDelays(rank)
        self._asker = TokenAsker(source, clock, self._receive)
        self._cache_by_account: dict[TenantId, TokenCache] = {}
        self._due: set[TenantId] = set()
        """Accounts for which the next ask may be needed."""
        self._next_ask_at = float(0)
        self._change_by_account: dict[TenantId, asyncio.Future[None]] = {}
        """Set once the cache of an account has changed."""
        self._outage: _Outage | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def draw(
        self, account: Account, latency_goal: float
    ) -> Result[Lease | None, Problem]:
        """Return a token for a request, or why it is refused.

        ``None`` stands for a token where limits are not in force.
        """
        if not self._source.is_in_force:
            self._metrics.count('tokens', outcome='not_in_force')
            return Success(None)
        now = self._clock.now()
        patience = min(latency_goal * GOAL_SHARE, MAX_TOKEN_WAIT)
        latest = Seconds(now + max(patience, MIN_PATIENCE))
        cache = self._cache(account.account)
        cache.arrive(now)
        outcome, lease = await self._draw(cache, latest)
        self._metrics.count('tokens', outcome=outcome.value)
        if outcome is Draw.granted:
            return Success(lease)
        return Failure(self._problem(cache, outcome))

    def give_back(self, account: Account, lease: Lease) -> None:
        """Take back the token of a request that has not run."""
        self._cache(account.account).give_back(lease, self._clock.now())
        self._return_later(account.account)

    async def _draw(
        self, cache: TokenCache, latest: Seconds
    ) -> tuple[Draw, Lease | None]:
        while True:
            now = self._clock.now()
            outcome, lease = cache.draw(now)
            is_final = outcome in {Draw.granted, Draw.refused}
            if is_final or now >= latest or self._is_lost(now):
                return outcome, lease
            await self._wait(cache, Seconds(latest - now))

    async def _wait(self, cache: TokenCache, timeout: Seconds) -> None:
        """Wait until the cache changes; see to it that an ask is sent."""
        account = cache.account
        change = self._change_by_account.get(account)
        if change is None:
            change = asyncio.get_running_loop().create_future()
            self._change_by_account[account] = change
        cache.waiting += 1
        delay = cache.refusal_left(self._clock.now())
        self._ask_after(account, delay)
        await asyncio.wait((change,), timeout=timeout)
        cache.waiting -= 1

    def _ask_after(self, account: TenantId, delay: float) -> None:
        """Include an account in the next ask, which is sent after a time."""
        now = self._clock.now()
        until_batch = self._next_ask_at - now
        if delay <= 0 and account in self._due:
            return
        if delay <= 0:
            self._due.add(account)
        asyncio.get_running_loop().call_later(
            max(delay, until_batch, 0),
            self._flush if delay <= 0 else lambda: self._ask_after(account, 0),
        )

    def _flush(self) -> None:
        now = self._clock.now()
        made = (
            self._cache_by_account[account].make_demand(now)
            for account in sorted(self._due)
        )
        demands = tuple(filter(None, made))
        self._due.clear()
        if demands:
            self._next_ask_at = now + BATCH_INTERVAL
            self._spawn(demands)

    def _spawn(self, demands: Demands) -> None:
        task = asyncio.ensure_future(self._ask(demands))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, demands: Demands) -> None:
        is_answered = await self._asker.send(demands)
        if is_answered:
            return
        self._metrics.count('token_asks_unanswered')
        self._end(demands)
        now = self._clock.now()
        self._outage = self._outage or _Outage(now, now)

    def _receive(
        self, demands: Demands, answer: TellTokens, sent_at: Seconds
    ) -> None:
        """Take an answer, which may come late."""
        self._outage = None
        now = self._clock.now()
        for demand, grant in zip(demands, answer.grants, strict=True):
            self._cache(demand.account).receive(demand, grant, sent_at, now)
            is_late = now >= sent_at + TOKEN_LIFETIME
            if is_late or grant.tokens > demand.needed:
                self._return_later(demand.account)
        self._end(demands)

    def _end(self, demands: Demands) -> None:
        """End the waiting for an answer to demands."""
        for demand in demands:
            self._cache(demand.account).end(demand)
            change = self._change_by_account.pop(demand.account, None)
            if change:
                change.set_result(None)

    def _return_later(self, account: TenantId) -> None:
        """Give tokens back that are still there when they have expired."""
        self._ask_after(account, TOKEN_LIFETIME)

    def _is_lost(self, now: Seconds) -> bool:
        """Tell whether no member has answered for so long that none will.

        Now and then, an empty ask finds out whether one does again.
        """
        outage = self._outage
        if outage is None or now < outage.began_at + LOST_SECONDS:
            return False
        if now >= outage.probed_at + PROBE_INTERVAL:
            outage.probed_at = now
            self._spawn(())
        return True

    def _cache(self, account: TenantId) -> TokenCache:
        cache = self._cache_by_account.get(account)
        if cache is None:
            cache = TokenCache(account)
            self._cache_by_account[account] = cache
        return cache

    def _problem(self, cache: TokenCache, outcome: Draw) -> Problem:
        until = cache.refusal_left(self._clock.now())
        delay = until + self._retry_delays.delay_after(0)
        if outcome is Draw.refused:
            self._metrics.count('tokens_refused', account=cache.account)
            return accountrefusals.over_limit(cache.account, delay)
        cause = (
            'the leader of the core is new'
            if outcome is Draw.filling
            else 'no core member answered in time'
        )
        return accountrefusals.no_token(cache.account, cause, delay)

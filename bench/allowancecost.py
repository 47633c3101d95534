"""What limits of accounts cost: time of the decisions, messages a second.

    python -m bench.allowancecost

The times are of one processor of this machine, without encoding and sending.
"""

import random
import sys
import time
from collections.abc import Callable

from turmericmast.account.account import Account
from turmericmast.allowance.ledger import TokenLedger
from turmericmast.allowance.limit import limit_of
from turmericmast.allowance.tokencache import TokenCache
from turmericmast.allowance.tokens import TokenDemand, TokenGrant
from turmericmast.ids import Seconds, TenantId
from turmericmast.instancesettings import Bounds
from turmericmast.programs.tokenservice import BATCH_INTERVAL
from turmericmast.units import MICROS_PER_SECOND
from turmericmast.wire.codec import Envelope
from turmericmast.wire.frame import pack_frame
from turmericmast.wire.watchrequests import AskTokens, TellTokens

ROUNDS = 20_000
SITES = ((116, 6), (315, 6))
"""Instances and members of the core."""
REQUESTS_PER_SECOND = 420
SECONDS = 60
FARM = TenantId('farm-tirol-17')


def _report(line: str) -> None:
    sys.stdout.write(f'{line}\n')


def _micros(act: Callable[[Seconds], object]) -> float:
    """Return the microseconds of a call, which gets a time that advances."""
    began = time.perf_counter()
    for number in range(ROUNDS):
        act(Seconds(number / 100))
    return (time.perf_counter() - began) / ROUNDS * MICROS_PER_SECOND


def _show_times() -> None:
    account = Account(FARM, frozenset(), rate=1000, burst=1000)
    limit = limit_of(account, Bounds())
    assert limit is not None
    ledger = TokenLedger(Seconds(5), Seconds(-10))
    ledger.use_limits({FARM: limit}, Seconds(-10))
    demand = TokenDemand(FARM, 1, 0, 0)
    cache = TokenCache(FARM)
    refused = TokenCache(FARM)
    refusal = TokenGrant(0, 10**9, filling=False)
    refused.receive(demand, refusal, Seconds(0), Seconds(0))

    def draw_with_ask(now: Seconds) -> None:
        cache.arrive(now)
        cache.draw(now)
        cache.waiting = 1
        asked = cache.make_demand(now)
        cache.waiting = 0
        if asked:
            grant = TokenGrant(1, 0, filling=False)
            cache.receive(asked, grant, now, now)
            cache.end(asked)
        cache.draw(now)

    def refuse(now: Seconds) -> None:
        refused.arrive(now)
        refused.draw(now)

    _report(f'edge, granted with an ask: {_micros(draw_with_ask):.1f} us')
    _report(f'edge, refused: {_micros(refuse):.1f} us')
    leader = _micros(lambda now: ledger.grant(demand, now))
    _report(f'leader, one demand: {leader:.1f} us')


def _show_sizes() -> None:
    demand = TokenDemand(FARM, 1, 0, 0)
    grant = TokenGrant(1, 0, filling=False)
    for name, message in (
        ('ask', AskTokens((demand,), relayed=False)),
        ('answer', TellTokens((grant,))),
        ('ask of five edges', AskTokens((demand,) * 5, relayed=True)),
    ):
        envelope = Envelope(1000, 0, 2**60, 'edge-tirol-17', message)
        _report(f'{name}: {len(pack_frame(envelope))} octets')


def _show_rates() -> None:
    """Count batches of requests that arrive at random."""
    chance = random.Random(1)
    for instances, members in SITES:
        arrivals = sorted(
            (chance.random() * SECONDS, chance.randrange(instances))
            for _ in range(REQUESTS_PER_SECOND * SECONDS)
        )
        at_members = len(arrivals) / SECONDS
        sent_at = [float('-inf')] * members
        batches = 0
        for at, instance in arrivals:
            member = instance % members
            # The first member leads, and answers its edges itself.
            if member and at >= sent_at[member] + BATCH_INTERVAL:
                sent_at[member] = at
                batches += 1
        _report(
            f'{instances} instances, {REQUESTS_PER_SECOND} requests a second: '
            f'{at_members:.0f} asks of edges, {at_members / members:.0f} a '
            f'member; {batches / SECONDS:.0f} asks of members to the leader'
        )


if __name__ == '__main__':
    _show_times()
    _show_sizes()
    _show_rates()

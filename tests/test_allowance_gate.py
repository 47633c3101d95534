"""Requests of limited accounts at an edge, with members that are stand-ins."""

import asyncio
import unittest
from collections.abc import Callable, Sequence
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Success

from tests.edge_harness import EdgeHarness
from tests.edge_samples import target
from turmericmast.account.account import Account, Identity
from turmericmast.allowance.tokens import TokenGrant
from turmericmast.clock import SystemClock
from turmericmast.ids import MemberId, TenantId
from turmericmast.metrics import Metrics
from turmericmast.web.allowancegate import LOST_SECONDS, AllowanceGate
from turmericmast.web.edgeexchange import EdgeExchange
from turmericmast.web.peerheaders import Forwarding
from turmericmast.web.tokenasker import ASK_TIMEOUT, TokenSource
from turmericmast.wire import codec
from turmericmast.wire.watchrequests import (
    AskTokens,
    PackedCluster,
    TellTokens,
)

FARM = Account(TenantId('farm'), frozenset(), rate=10)
FREE = Account(TenantId('free'), frozenset())
GOAL = 0.3
MEMBERS = (MemberId('m1'), MemberId('m2'), MemberId('m3'))


class _Source(TokenSource):
    """Members of which each answers as a function says."""

    def __init__(
        self, *answers: Callable[[AskTokens], Any], is_in_force: bool = True
    ) -> None:
        self.asks: list[tuple[MemberId, AskTokens]] = []
        self._answers = answers
        self._is_in_force = is_in_force

    @property
    def is_in_force(self) -> bool:
        return self._is_in_force

    def members(self) -> Sequence[MemberId]:
        return MEMBERS[: len(self._answers)]

    async def ask(self, member: MemberId, ask: AskTokens) -> TellTokens | None:
        self.asks.append((member, ask))
        answer = self._answers[MEMBERS.index(member)](ask)
        if answer == 'silent':
            await asyncio.sleep(10)
        if answer == 'slow':
            await asyncio.sleep(ASK_TIMEOUT + 0.02)
            return _grant(ask)
        return answer if isinstance(answer, TellTokens) else None

    def asked(self) -> list[MemberId]:
        """Return the members that were asked, in order."""
        return [member for member, _ in self.asks]


def _tell(ask: AskTokens, tokens: int, wait_ms: int, *, filling: bool) -> Any:
    grant = TokenGrant(tokens, wait_ms, filling)
    return TellTokens((grant,) * len(ask.demands))


def _grant(ask: AskTokens) -> Any:
    needed = max((demand.needed for demand in ask.demands), default=0)
    return _tell(ask, needed, 0, filling=False)


def _refuse(ask: AskTokens) -> Any:
    return _tell(ask, 0, 300, filling=False)


def _fill(ask: AskTokens) -> Any:
    return _tell(ask, 0, 500, filling=True)


def _decline(_ask: AskTokens) -> Any:
    return 'declined'


def _silent(_ask: AskTokens) -> Any:
    return 'silent'


def _slow(_ask: AskTokens) -> Any:
    return 'slow'


def _gate(source: TokenSource) -> AllowanceGate:
    return AllowanceGate(source, SystemClock(), Metrics())


DRAWS = [
    # name, members, status (0 if granted), members that are asked first
    ('granted', (_grant,), 0, MEMBERS[:1]),
    ('refused', (_refuse,), 429, MEMBERS[:1]),
    ('new_leader', (_fill,), 503, MEMBERS[:1]),
    ('first_declines', (_decline, _grant), 0, MEMBERS[:2]),
    ('first_is_silent', (_silent, _grant), 0, MEMBERS[:2]),
    ('all_silent', (_silent, _silent), 503, MEMBERS[:2]),
    ('all_decline', (_decline, _decline), 503, MEMBERS[:2]),
    ('no_member', (), 503, ()),
]


OLD_ANSWER = bytes.fromhex('0c7a180166190c160a0000')
"""``PackedCluster(b'f', (), 5)`` as 7a4f2c6 encodes it."""


class OldMemberTest(unittest.TestCase):
    """Guards against asks to members that close the connection for them."""

    @parameterized.expand(
        [
            ('old', OLD_ANSWER, False),
            ('new', codec.encode(PackedCluster(b'f', (), 5, True)), True),
        ]
    )
    def test_answer(self, _name: str, octets: bytes, grants: bool) -> None:
        answer = codec.decode_received(octets).unwrap()
        self.assertEqual(answer, PackedCluster(b'f', (), 5, grants))


class GateTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that run without a token, or wait in vain."""

    @parameterized.expand(DRAWS)
    async def test_draw(
        self, _name: str, answers: Any, status: int, asked: Any
    ) -> None:
        source = _Source(*answers)
        drawn = await _gate(source).draw(FARM, GOAL)
        self.assertEqual(tuple(source.asked()[: len(asked)]), asked)
        if status:
            self.assertIsInstance(drawn, Failure)
            problem = drawn.failure()
            self.assertEqual(problem.status, status)
            self.assertEqual(problem.ran.value, 'no')
            self.assertGreater(problem.retry_after_ms, 0)
        else:
            self.assertIsInstance(drawn, Success)

    async def test_older_members_only(self) -> None:
        source = _Source(_decline, is_in_force=False)
        drawn = await _gate(source).draw(FARM, GOAL)
        self.assertIsNone(drawn.unwrap())
        self.assertEqual(source.asks, [])

    async def test_no_message_while_refused(self) -> None:
        source = _Source(_refuse)
        gate = _gate(source)
        for _ in range(50):
            drawn = await gate.draw(FARM, GOAL)
            self.assertEqual(drawn.failure().status, 429)
        self.assertEqual(len(source.asks), 1)

    async def test_retries_are_spread(self) -> None:
        gate = _gate(_Source(_refuse))
        delays = {
            (await gate.draw(FARM, GOAL)).failure().retry_after_ms
            for _ in range(10)
        }
        self.assertGreater(len(delays), 5)
        self.assertGreater(max(delays) - min(delays), 200)

    async def test_requests_at_once_share_asks(self) -> None:
        source = _Source(_grant)
        gate = _gate(source)
        drawn = await asyncio.gather(*(gate.draw(FARM, GOAL) for _ in range(9)))
        self.assertTrue(all(isinstance(each, Success) for each in drawn))
        self.assertLessEqual(len(source.asks), 2)

    async def test_late_answer_is_used(self) -> None:
        source = _Source(_slow)
        drawn = await _gate(source).draw(FARM, 2 * GOAL)
        self.assertIsInstance(drawn, Success)

    async def test_refused_at_once_after_a_while_without_answers(self) -> None:
        source = _Source(_silent)
        gate = _gate(source)
        await gate.draw(FARM, GOAL)
        await asyncio.sleep(LOST_SECONDS + 0.2)
        began = asyncio.get_running_loop().time()
        drawn = await gate.draw(FARM, GOAL)
        took = asyncio.get_running_loop().time() - began
        self.assertEqual(drawn.failure().status, 503)
        self.assertLess(took, 0.05)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are charged twice, or not at all."""

    def setUp(self) -> None:
        """Prepare an edge with two targets."""
        self.harness = EdgeHarness(target('1'), target('2'))
        self.source = _Source(_grant)
        self.gate = AllowanceGate(
            self.source, SystemClock(), self.harness.metrics
        )
        self.harness.context.allowance = self.gate

    async def _call(
        self, account: Account | None, forwarding: Forwarding | None = None
    ) -> int:
        incoming = self.harness.read()
        object.__setattr__(incoming, 'identity', Identity(account))
        if forwarding:
            incoming = incoming.forwarded(forwarding)
        connection = unittest.mock.Mock()
        exchange = EdgeExchange(self.harness.context, connection, incoming)
        exchange._body.mark_complete()
        with self.harness.running():
            await exchange._run()
        line = connection.write_headers.call_args.args[0]
        return int(line.code)

    @parameterized.expand(
        [
            ('limited', FARM, None, 1),
            ('without_a_limit', FREE, None, 0),
            ('public', None, None, 0),
            ('forwarded', FARM, Forwarding('c', 1, 'stock'), 0),
        ]
    )
    async def test_asks(
        self, _name: str, account: Any, forwarding: Any, asks: int
    ) -> None:
        self.assertEqual(await self._call(account, forwarding), 200)
        self.assertEqual(len(self.source.asks), asks)

    async def test_retries_draw_once(self) -> None:
        self.harness.set_behaviour('1', 500)
        self.harness.set_behaviour('2', 500)
        await self._call(FARM)
        self.assertEqual(len(self.harness.requests()), 2)
        self.assertEqual(len(self.source.asks), 1)

    async def test_token_of_a_request_that_has_not_run(self) -> None:
        for name in ('1', '2'):
            self.harness.set_behaviour(name, 503, {'X-Not-Executed': '1'})
        self.assertEqual(await self._call(FARM), 503)
        # The next request has its token, and no ask is sent.
        await self.gate.draw(FARM, GOAL)
        self.assertEqual(len(self.source.asks), 1)

    async def test_refused_request_reaches_no_target(self) -> None:
        self.harness.context.allowance = _gate(_Source(_refuse))
        self.assertEqual(await self._call(FARM), 429)
        self.assertEqual(self.harness.requests(), [])

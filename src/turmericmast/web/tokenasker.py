"""Asks members of the core for tokens until one answers."""

import abc
import asyncio
import dataclasses
import math
from collections.abc import Callable, Sequence
from typing import TypeAlias, final

from turmericmast.allowance.limit import MAX_TOKEN_WAIT
from turmericmast.allowance.tokens import TokenDemand
from turmericmast.clock import Clock
from turmericmast.ids import MemberId, Seconds
from turmericmast.wire.watchrequests import AskTokens, TellTokens

ASK_TIMEOUT = 0.06
"""Seconds until the next member is asked: twice the way to a far leader.

Two members can be asked in ``MAX_TOKEN_WAIT``."""
RETRY_INTERVAL = 0.02
"""Seconds until another member is asked after one that declined."""
AVOID_SECONDS = 1.0
"""Seconds for which a member that did not answer is asked only after others."""

Demands: TypeAlias = tuple[TokenDemand, ...]
OnAnswer: TypeAlias = Callable[[Demands, TellTokens, Seconds], None]


class TokenSource(abc.ABC):
    """Members that grant tokens, or get them from the leader."""

    @property
    @abc.abstractmethod
    def is_in_force(self) -> bool:
        """Tell whether limits are in force, so that tokens are needed."""

    @abc.abstractmethod
    def members(self) -> Sequence[MemberId]:
        """Return the members to ask, preferred ones first."""

    @abc.abstractmethod
    async def ask(self, member: MemberId, ask: AskTokens) -> TellTokens | None:
        """Return the answer of a member, ``None`` if it has none.

        It may take longer than the tokens are valid.
        """


@final
class TokenAsker:
    """Sends demands to one member after another until one answers."""

    def __init__(
        self, source: TokenSource, clock: Clock, on_answer: OnAnswer
    ) -> None:
        """Pass each answer to ``on_answer``, with when its ask was sent.

        It is called for late answers, too: their tokens can be given back.
        """
        self._source = source
        self._clock = clock
        self._on_answer = on_answer
        self._avoided_until_by_member: dict[MemberId, float] = {}

    async def send(self, demands: Demands) -> bool:
        """Ask until there is an answer; tell whether there was one in time."""
        deadline = self._clock.now() + MAX_TOKEN_WAIT
        tried = 0
        while self._clock.now() < deadline:
            members = self._order()
            if not members:
                return False
            if await self._ask(members[0], demands):
                return True
            # A member that has got the ask may have taken tokens back.
            demands = tuple(
                dataclasses.replace(demand, returned=0) for demand in demands
            )
            tried += 1
            await asyncio.sleep(RETRY_INTERVAL if tried > 1 else 0)
        return False

    async def _ask(self, member: MemberId, demands: Demands) -> bool:
        sent_at = self._clock.now()
        ask = AskTokens(demands, relayed=False)
        task = asyncio.ensure_future(self._source.ask(member, ask))
        task.add_done_callback(
            lambda done: self._receive(demands, done, sent_at)
        )
        await asyncio.wait((task,), timeout=ASK_TIMEOUT)
        if task.done() and task.result():
            return True
        self._avoided_until_by_member[member] = (
            self._clock.now() + AVOID_SECONDS
        )
        return False

    def _receive(
        self,
        demands: Demands,
        done: 'asyncio.Task[TellTokens | None]',
        sent_at: Seconds,
    ) -> None:
        if done.cancelled() or done.exception():
            return
        answer = done.result()
        if answer:
            self._on_answer(demands, answer, sent_at)

    def _order(self) -> list[MemberId]:
        """Return the members, those that have failed recently last.

        Of these, the one comes first whose failure was longest ago.
        """
        now = self._clock.now()
        return sorted(
            self._source.members(),
            key=lambda member: self._avoided_until(member, now),
        )

    def _avoided_until(self, member: MemberId, now: Seconds) -> float:
        until = self._avoided_until_by_member.get(member, -math.inf)
        return until if until > now else -math.inf

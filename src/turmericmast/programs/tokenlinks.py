"""Links on which members are asked for tokens."""

import collections
import contextlib
from typing import final

from returns.result import Success

from turmericmast.ids import MemberId
from turmericmast.metrics import Metrics
from turmericmast.wire.linkpool import LinkPool
from turmericmast.wire.watchrequests import AskTokens, TellTokens

ANSWER_TIMEOUT = 0.5
"""Seconds for an answer; tokens that come later cannot be used or returned."""
MAX_UNANSWERED = 8
"""Asks to one member without an answer.

Asks that wait while the member is frozen would take tokens for nobody once it
runs again."""


@final
class TokenLinks:
    """Asks members for tokens on connections of their own.

    Asks do not wait behind feeds there, and a member of an older version,
    which closes a connection with an unknown message, closes no other one.
    """

    def __init__(self, links: LinkPool, metrics: Metrics) -> None:
        """Use ``links`` for nothing else."""
        self._links = links
        self._metrics = metrics
        self._unanswered_by_member: collections.Counter[MemberId] = (
            collections.Counter()
        )

    async def ask(self, member: MemberId, ask: AskTokens) -> TellTokens | None:
        """Return the answer of a member, ``None`` if it has none.

        The link is closed after ``ANSWER_TIMEOUT`` without an answer, so that
        nothing that waits in it is sent later.
        """
        if self._unanswered_by_member[member] >= MAX_UNANSWERED:
            self._metrics.count('token_asks', outcome='held_back')
            return None
        self._unanswered_by_member[member] += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self._unanswered_by_member.subtract, (member,))
            answer = await self._links.to(member).request(ask, ANSWER_TIMEOUT)
        if not isinstance(answer, Success):
            self._metrics.count('token_asks', outcome='lost')
            self._links.close(member)
            return None
        told = answer.unwrap()
        if not isinstance(told, TellTokens):
            self._metrics.count('token_asks', outcome='declined')
            return None
        self._metrics.count('token_asks', outcome='answered')
        return told if len(told.grants) == len(ask.demands) else None

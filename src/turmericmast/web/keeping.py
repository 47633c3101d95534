"""How a keyed request is kept in the ledger, from start to answer."""

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, final

from returns.result import Success

from turmericmast.call.call import CallRequest, Ran
from turmericmast.fleet.values import Values
from turmericmast.ids import RequestKey, Seconds
from turmericmast.ledger.commands import Begin, GiveUp, Settle
from turmericmast.ledger.record import Header, KeptAnswer, Verdict
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.body import Body
from turmericmast.web.parse import answer_headers
from turmericmast.web.problem import Problem
from turmericmast.web.transfer import Head

if TYPE_CHECKING:
    from turmericmast.web.desk import Desk

WAIT_PAUSE = 0.1
"""Seconds between two looks at a record that is under way."""
RECORD_MARGIN_MS = 1000
"""Time after the deadline at which an attempt counts as ended."""
SETTLE_TIMEOUT = 20.0
"""Seconds in which an answer should reach the ledger."""
BEGIN_SHARE = 0.8
"""Share of a caller's time that may pass before the record is begun."""
GIVE_UP_TIMEOUT = 20.0
"""Seconds in which the ledger is told of a request that never ran."""
GIVE_UP_WAIT = 0.5
"""Seconds that a caller waits for this, so that a resend finds it done."""


@final
class Keeper:
    """Keeps the record of one request; does nothing for other requests."""

    def __init__(
        self,
        desk: 'Desk',
        request: CallRequest,
        values: Values,
    ) -> None:
        """Keep records where the fleet's values say."""
        self._desk = desk
        self._request = request
        self._region = values.resolve_ledger_region(desk.clients.default_region)
        self._retention_ms = values.key_retention_s * MILLIS_PER_SECOND
        self.kept: KeptAnswer | None = None
        self.is_open = False
        """Whether a record of this attempt waits for its end."""

    async def begin(self, body: Body) -> Problem | None:
        """Commit the record; return a problem unless this attempt may run."""
        if not self._request.uses_ledger:
            return None
        if not body.is_held:
            return self._problem(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                Ran.no,
                'a keyed request must fit into 64 KiB; send less',
            )
        verdict = await self._ask_until_settled(body)
        match verdict:
            case Verdict.run:
                self.is_open = True
                return None
            case Verdict.replay if self.kept and self.kept.is_whole:
                return None
            case Verdict.replay:
                return self._problem(
                    HTTPStatus.CONFLICT,
                    Ran.yes,
                    'it ran; its answer was too large to be kept',
                )
            case Verdict.mismatch:
                return self._problem(
                    HTTPStatus.UNPROCESSABLE_ENTITY,
                    Ran.no,
                    'the key belongs to another request; use a new key',
                )
            case Verdict.unknown | Verdict.wait:
                return self._problem(
                    HTTPStatus.CONFLICT,
                    Ran.unknown,
                    'an attempt ended without a trace, it may have run; '
                    'ask the service before sending it under a new key',
                )
        await self._give_up(body)
        return self._problem(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            f'the ledger of {self._region} cannot be reached; send it again',
        )

    async def settle(self, head: Head, body: bytes, is_whole: bool) -> None:
        """Commit the answer before the caller gets it."""
        self.is_open = False
        headers = tuple(
            Header(name, text)
            for name, text in answer_headers(head.headers).get_all()
        )
        answer = KeptAnswer(
            head.status,
            head.reason,
            headers,
            body if is_whole else b'',
            is_whole,
        )
        clock = self._desk.clock
        told = asyncio.ensure_future(
            self._desk.change_ledger(
                self._region,
                Settle(
                    self._scoped(),
                    self._request.call,
                    answer,
                    clock.wall(),
                    self._retention_ms,
                ),
                Seconds(clock.now() + SETTLE_TIMEOUT),
            ),
        )
        told.add_done_callback(self._count_unkept)
        # The ledger may be without a leader for longer than the caller has.
        left = self._request.deadline - clock.now()
        await asyncio.wait({told}, timeout=max(left, 0))

    async def close_failed(self, ran: Ran, body: Body) -> None:
        """Free the key when the request provably did not run."""
        if self.is_open and ran is Ran.no:
            await self._give_up(body)
        self.is_open = False

    def _count_unkept(self, told: 'asyncio.Future[Any]') -> None:
        if told.cancelled() or not isinstance(told.result(), Success):
            self._desk.metrics.count('answers_not_kept')

    async def _ask_until_settled(self, body: Body) -> Verdict | None:
        clock = self._desk.clock
        verdict: Verdict | None = Verdict.wait
        while verdict is Verdict.wait:
            verdict = await self._ask(body)
            if verdict is not Verdict.wait:
                break
            if clock.now() + WAIT_PAUSE >= self._request.deadline:
                break
            await asyncio.sleep(WAIT_PAUSE)
        return verdict

    async def _ask(self, body: Body) -> Verdict | None:
        request = self._request
        clock = self._desk.clock
        left_ms = int((request.deadline - clock.now()) * MILLIS_PER_SECOND)
        at_ms = clock.wall()
        answer = await self._desk.change_ledger(
            self._region,
            Begin(
                key=self._scoped(),
                attempt=request.call,
                fingerprint=request.fingerprint(body.held()),
                at_ms=at_ms,
                expires_ms=at_ms + max(left_ms, 0) + RECORD_MARGIN_MS,
                retention_ms=self._retention_ms,
            ),
            Seconds(clock.now() + BEGIN_SHARE * left_ms / MILLIS_PER_SECOND),
        )
        if not isinstance(answer, Success):
            return None
        standing = answer.unwrap()
        self.kept = standing.answer
        verdict: Verdict = standing.verdict
        return verdict

    async def _give_up(self, body: Body) -> None:
        request = self._request
        clock = self._desk.clock
        told = asyncio.ensure_future(
            self._desk.change_ledger(
                self._region,
                GiveUp(
                    self._scoped(),
                    request.call,
                    request.fingerprint(body.held()),
                    clock.wall(),
                    self._retention_ms,
                ),
                Seconds(clock.now() + GIVE_UP_TIMEOUT),
            ),
        )
        left = request.deadline - clock.now()
        await asyncio.wait({told}, timeout=max(min(GIVE_UP_WAIT, left), 0))

    def _scoped(self) -> RequestKey:
        request = self._request
        return RequestKey(f'{request.service}/{request.tenant}/{request.key}')

    def _problem(self, status: int, ran: Ran, detail: str) -> Problem:
        return Problem(
            status,
            'Keyed request',
            detail,
            'begin record',
            ran,
            peer=self._region,
            retry_after_ms=1000
            if status == HTTPStatus.SERVICE_UNAVAILABLE
            else 0,
        )

"""Record keyed requests in the ledger, so that each runs at most once."""

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
from turmericmast.web.body import RequestBody
from turmericmast.web.parse import response_headers
from turmericmast.web.problem import Problem
from turmericmast.web.responsehead import ResponseHead

if TYPE_CHECKING:
    from turmericmast.web.entrycontext import EntryContext

POLL_INTERVAL = 0.1
"""Seconds between requests to the ledger while another attempt runs."""
RECORD_MARGIN_MS = 1000
"""Milliseconds between the deadline of an attempt and its record's expiry.

From the expiry on, the attempt counts as ended.
"""
SETTLE_TIMEOUT = 20.0
"""Seconds to try to commit a response in the ledger."""
BEGIN_TIME_SHARE = 0.8
"""Share of the remaining time in which the ledger must begin the record."""
GIVE_UP_TIMEOUT = 20.0
"""Seconds to try to commit that a request did not run."""
MAX_GIVE_UP_WAIT = 0.5
"""Seconds that a caller waits for the commit that its request did not run.

A resend after the response then usually finds the key free.
"""


@final
class KeyedRequest:
    """The ledger record of one request; without a key, no record is made."""

    def __init__(
        self,
        context: 'EntryContext',
        request: CallRequest,
        values: Values,
    ) -> None:
        """Use the ledger of the region that the fleet values determine."""
        self._context = context
        self._request = request
        self._region = values.resolve_ledger_region(
            context.clients.default_region
        )
        self._retention_ms = values.key_retention_s * MILLIS_PER_SECOND
        self.kept_answer: KeptAnswer | None = None
        self.has_open_record = False
        """Whether this attempt began a record and must settle or release it."""

    async def begin(self, body: RequestBody) -> Problem | None:
        """Begin the record; return a problem if the attempt must not run.

        Neither a problem nor an open record means: replay ``kept_answer``,
        or send a request that has no key.
        """
        if not self._request.uses_ledger:
            return None
        if not body.is_buffered:
            return self._problem(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                Ran.no,
                'the body of a keyed request may have at most 64 KiB; '
                'send less',
            )
        verdict = await self._await_verdict(body)
        match verdict:
            case Verdict.run:
                self.has_open_record = True
                return None
            case Verdict.replay if (
                self.kept_answer and self.kept_answer.is_whole
            ):
                return None
            case Verdict.replay:
                return self._problem(
                    HTTPStatus.CONFLICT,
                    Ran.yes,
                    'the request ran; the response is too large for the ledger',
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
                    'an earlier attempt has no known result and may have run; '
                    'ask the service before sending it under a new key',
                )
        await self._give_up(body)
        return self._problem(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            f'the ledger of {self._region} cannot be reached; send it again',
        )

    async def settle(
        self, head: ResponseHead, body: bytes, is_whole: bool
    ) -> None:
        """Commit the response in the ledger, before the caller gets it.

        Wait at most until the deadline of the request.
        """
        self.has_open_record = False
        headers = tuple(
            Header(name, text)
            for name, text in response_headers(head.headers).get_all()
        )
        answer = KeptAnswer(
            head.status,
            head.reason,
            headers,
            body if is_whole else b'',
            is_whole,
        )
        clock = self._context.clock
        commit = asyncio.ensure_future(
            self._context.change_ledger(
                self._region,
                Settle(
                    self._scoped_key(),
                    self._request.call,
                    answer,
                    clock.wall(),
                    self._retention_ms,
                ),
                Seconds(clock.now() + SETTLE_TIMEOUT),
            ),
        )
        commit.add_done_callback(self._count_unkept_answer)
        # The ledger may lack a leader past the deadline of the caller, which
        # then gets the response while the commit is still being retried.
        time_left = self._request.deadline - clock.now()
        await asyncio.wait({commit}, timeout=max(time_left, 0))

    async def close_unanswered(self, ran: Ran, body: RequestBody) -> None:
        """Release the key if the request certainly did not run."""
        if self.has_open_record and ran is Ran.no:
            await self._give_up(body)
        self.has_open_record = False

    def _count_unkept_answer(self, commit: 'asyncio.Future[Any]') -> None:
        if commit.cancelled() or not isinstance(commit.result(), Success):
            self._context.metrics.count('answers_not_kept')

    async def _await_verdict(self, body: RequestBody) -> Verdict | None:
        clock = self._context.clock
        verdict: Verdict | None = Verdict.wait
        while verdict is Verdict.wait:
            verdict = await self._begin_record(body)
            if verdict is not Verdict.wait:
                break
            if clock.now() + POLL_INTERVAL >= self._request.deadline:
                break
            await asyncio.sleep(POLL_INTERVAL)
        return verdict

    async def _begin_record(self, body: RequestBody) -> Verdict | None:
        request = self._request
        clock = self._context.clock
        time_left_ms = int((request.deadline - clock.now()) * MILLIS_PER_SECOND)
        at_ms = clock.wall()
        answer = await self._context.change_ledger(
            self._region,
            Begin(
                key=self._scoped_key(),
                attempt=request.call,
                fingerprint=request.fingerprint(body.buffered()),
                at_ms=at_ms,
                expires_ms=at_ms + max(time_left_ms, 0) + RECORD_MARGIN_MS,
                retention_ms=self._retention_ms,
            ),
            Seconds(
                clock.now()
                + BEGIN_TIME_SHARE * time_left_ms / MILLIS_PER_SECOND
            ),
        )
        if not isinstance(answer, Success):
            return None
        standing = answer.unwrap()
        self.kept_answer = standing.answer
        verdict: Verdict = standing.verdict
        return verdict

    async def _give_up(self, body: RequestBody) -> None:
        """Commit that the attempt did not run, which releases the key."""
        request = self._request
        clock = self._context.clock
        commit = asyncio.ensure_future(
            self._context.change_ledger(
                self._region,
                GiveUp(
                    self._scoped_key(),
                    request.call,
                    request.fingerprint(body.buffered()),
                    clock.wall(),
                    self._retention_ms,
                ),
                Seconds(clock.now() + GIVE_UP_TIMEOUT),
            ),
        )
        time_left = request.deadline - clock.now()
        await asyncio.wait(
            {commit}, timeout=max(min(MAX_GIVE_UP_WAIT, time_left), 0)
        )

    def _scoped_key(self) -> RequestKey:
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

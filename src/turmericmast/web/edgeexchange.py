"""Handling of one request at an edge, from its headers to the response."""

import asyncio
from collections.abc import Callable
from typing import final

from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
)

from turmericmast.balance.candidate import Candidate
from turmericmast.balance.scoring import Distance
from turmericmast.call.call import (
    Call,
    Loss,
    NextStep,
    Ran,
)
from turmericmast.call.triedtargets import TriedTargets
from turmericmast.ids import Seconds
from turmericmast.web import edgerefusals
from turmericmast.web.body import RequestBody
from turmericmast.web.edgeattempt import EdgeAttempt
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.edgeresponse import EdgeResponse
from turmericmast.web.hedgedattempts import HedgedAttempts
from turmericmast.web.keycheck import KeyCheck
from turmericmast.web.peerforwarder import PeerForwarder
from turmericmast.web.problem import Problem
from turmericmast.web.quarantinecheck import QuarantineCheck
from turmericmast.web.relay import Relay, RelayState
from turmericmast.web.requestreport import RequestReport
from turmericmast.web.targetselection import TargetSelector
from turmericmast.web.transfer import TransferRequest


@final
class EdgeExchange(HTTPMessageDelegate):
    """Serves one request: selects targets, retries, hedges and responds.

    It is the delegate that receives the request body. Sending begins once the
    body is complete or has become too large to buffer. The caller gets one
    response, or its connection is closed.
    """

    def __init__(
        self,
        context: EdgeContext,
        connection: HTTPConnection,
        incoming: EdgeRequest,
    ) -> None:
        """Prepare to serve ``incoming`` and respond on ``connection``."""
        self._context = context
        self._incoming = incoming
        self._pool = incoming.pool
        self._call = Call(incoming.call)
        self._selector = TargetSelector(context, incoming.pool)
        self._body = RequestBody()
        self._quarantine_check = QuarantineCheck(
            context, incoming.call, self._body
        )
        self._key_check = KeyCheck(context, incoming)
        self._relay = Relay(
            connection,
            incoming.call.method,
            context.connection_headers,
        )
        self._tried = TriedTargets(
            incoming.forwarding.tried if incoming.forwarding else ()
        )
        self._forwarder = PeerForwarder(
            context, incoming, self._call, self._body, self._tried
        )
        self._profile = incoming.pool.profile_for(incoming.requirements(()))
        self._attempts = HedgedAttempts(self._profile)
        self._failed_response: EdgeResponse | None = None
        """The last response with a status of 500 or above.

        The caller gets it if no other attempt succeeds.
        """
        self._token_charge = context.charge(incoming)
        self._task: asyncio.Task[None] | None = None
        self._report = RequestReport(context, incoming, self._call, self._tried)
        self._is_finished = False
        """Whether the caller has its response or has disconnected."""

    async def data_received(self, chunk: bytes) -> None:
        """Add bytes to the body; return when more of them may be read."""
        table = self._context.edge.route_table
        max_bytes = table.document.limits.body_bytes if table else 0
        if self._body.size + len(chunk) > max_bytes:
            ran = Ran.unknown if self._task else Ran.no
            self._refuse(edgerefusals.body_too_large(max_bytes, ran))
            self._body.stop_reading()
            return
        if self._body.exceeds_buffer(len(chunk)):
            has_begun = self._task is not None
            if not self._quarantine_check.holds(chunk, has_begun=has_begun):
                self._start()
        await self._body.push(chunk)

    def finish(self) -> None:
        """Mark the body as complete and begin to send."""
        self._body.mark_complete()
        if self._body.is_end_held:
            self._decide_about_end()
        self._start()

    def on_deadline(self) -> None:
        """Refuse the request if its body still arrives and none was sent.

        Attempts end at the deadline by themselves.
        """
        if self._task is None:
            self._refuse(edgerefusals.body_too_slow())
            self._body.stop_reading()

    def on_connection_close(self) -> None:
        """Cancel all attempts, since the caller has disconnected."""
        if not self._is_finished:
            self._report.caller_left()
        self._is_finished = True
        self._body.stop_reading()
        self._attempts.cancel()
        self._forwarder.cancel()

    def _decide_about_end(self) -> None:
        """Send the end of a body that was held, or refuse the request."""
        if self._quarantine_check.time_left():
            self._refuse(edgerefusals.quarantined_within_body())
        else:
            self._body.release_end()

    def _start(self) -> None:
        if self._task is not None or self._is_finished:
            return
        if not self._context.edge.can_finish(self._incoming.call.deadline):
            # The shutdown began while the body arrived.
            self._refuse(edgerefusals.leaving())
            self._body.stop_reading()
            return
        self._context.running += 1
        self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        try:
            await self._serve()
        except Exception as error:
            self._refuse(edgerefusals.internal_error(error))
            raise
        finally:
            self._context.running -= 1
            self._body.stop_reading()

    async def _serve(self) -> None:
        problem = await self._token_charge.draw()
        if problem:
            self._refuse(problem)
        if self._is_finished:
            # The caller may have disconnected while the request waited.
            self._token_charge.give_back()
            return
        now = self._context.clock.now()
        if not self._incoming.forwarding:
            self._pool.retry_budget.deposit(now)
        self._pool.request_rate.record(now)
        should_retry = True
        while should_retry and not self._is_finished:
            should_retry = await self._try_once()

    async def _try_once(self) -> bool:
        """Send the request somewhere, or refuse it; tell whether to retry."""
        time_left = self._quarantine_check.time_left()
        problem = (
            edgerefusals.quarantined(time_left)
            if time_left
            else self._key_check.find_problem()
        )
        if problem and self._call.ran is Ran.no:
            self._refuse(problem)
            return False
        if problem:
            self._fail()
            return False
        candidate = await self._selector.select(
            self._incoming.requirements(self._tried)
        )
        if self._is_finished:
            # The caller disconnected while targets were probed.
            return False
        is_doubtful = self._selector.is_doubtful(candidate, self._call)
        if is_doubtful and self._forwarder.find_peer():
            return await self._try_peer()
        if candidate:
            return await self._try_target(candidate)
        self._refuse_without_target()
        return False

    async def _try_target(self, candidate: Candidate) -> bool:
        """Send to a target and hedge; tell whether to try another one."""
        first = self._start_attempt(candidate)
        decisive = await self._attempts.wait(
            lambda: self._hedge_if_useful(first)
        )
        loss = decisive.task.result()
        self._attempts.cancel(decisive)
        failed = [*self._attempts.failed, *([decisive] if loss else ())]
        self._attempts = HedgedAttempts(self._profile)
        for attempt in failed:
            attempt_loss = attempt.task.result()
            self._report.attempt_ended(attempt)
            self._quarantine_check.on_attempt_end(
                attempt.candidate.view, attempt_loss
            )
            if attempt_loss:
                self._call.record_failure(attempt_loss)
            if attempt_loss is Loss.never_sent:
                self._tried.mark_unreached(attempt.candidate.view.record.target)
        if loss is None:
            self._report.attempt_ended(decisive)
            self._deliver(decisive.response)
            return False
        return self._retry_or_fail(
            loss,
            decisive.response,
            has_reached_target=loss is not Loss.never_sent,
        )

    async def _try_peer(self) -> bool:
        """Forward to another instance; tell whether to try another one."""
        self._relay.resume = self._forwarder.resume
        self._report.forwarded(self._forwarder.peer)
        response = self._forwarder.make_response(self._relay, self._claim)
        loss = await self._forwarder.forward(response, self._key_check.passes)
        self._report.forwarding_ended(self._forwarder.peer, response, loss)
        if loss is None:
            self._deliver(response)
            return False
        self._call.record_failure(loss, spends_all_attempts=True)
        return self._retry_or_fail(
            loss,
            response,
            has_reached_target=loss is not Loss.never_sent
            and response.has_reached_target,
        )

    def _start_attempt(self, candidate: Candidate) -> EdgeAttempt:
        self._call.start_attempt()
        record = candidate.view.record
        self._tried.begin(record.target, record.address)
        response = EdgeResponse(
            self._context.header_format,
            self._incoming.request_id,
            self._relay,
            self._claim,
        )
        attempt = EdgeAttempt(
            self._context,
            self._pool,
            candidate,
            response,
            self._profile,
        )
        if self._pool.gate:
            attempt.on_end = self._pool.gate.counter(
                self._incoming.route.name, record.version
            )
        attempt.start(self._make_request, self._key_check.passes)
        self._relay.resume = self._attempts.resume
        self._attempts.add(attempt)
        return attempt

    def _claim(self, response: EdgeResponse) -> bool:
        """Tell whether a response may be written to the caller."""
        return not self._is_finished and self._relay.claim(response)

    def _hedge_if_useful(self, first: EdgeAttempt) -> bool:
        """Start a second attempt if it helps; tell whether to check again."""
        call = self._incoming.call
        is_possible = call.is_idempotent and self._body.can_replay
        if not is_possible or self._call.attempts >= call.max_attempts:
            return False
        if self._relay.source or self._is_finished:
            return False
        requirements = self._incoming.requirements(self._tried)
        now = self._context.clock.now()
        estimate = self._pool.estimate(requirements, now)
        if first.hedge.needs_report(estimate.service_time, now):
            self._selector.start_probe(first.candidate)
        if first.hedge.is_on_schedule(estimate, now):
            return True
        second = self._pool.best(requirements, Distance.remote, now)
        if second is None or not first.hedge.should_hedge(
            second, estimate, now
        ):
            return True
        if self._pool.retry_budget.try_withdraw(now):
            self._report.hedged(second)
            self._start_attempt(second)
            return False
        return True

    def _make_request(
        self,
        candidate: Candidate,
        resume: Callable[[], None],
    ) -> TransferRequest:
        record = candidate.view.record
        request = self._incoming.transfer_request(
            record,
            self._body,
            resume,
            Seconds(self._incoming.call.deadline - self._context.clock.now()),
            self._context.header_format,
        )
        return request.using_kept_connection(
            allowed=self._tried.has_single_attempt_at(record.address)
        )

    def _retry_or_fail(
        self, loss: Loss, response: EdgeResponse, *, has_reached_target: bool
    ) -> bool:
        """Tell whether to retry after a failed attempt; else respond.

        A retry is taken from the budget if the attempt has, or may have,
        reached a target.
        """
        if loss is Loss.failed:
            self._failed_response = response
        if self._is_finished:
            return False
        now = self._context.clock.now()
        if self._relay.state is RelayState.streaming:
            self._is_finished = True
            self._report.broken_off(loss)
            self._relay.abort()
            return False
        step = self._call.next_step(now, can_replay=self._body.can_replay)
        if step is NextStep.retry and (
            not has_reached_target or self._pool.retry_budget.try_withdraw(now)
        ):
            self._report.retried(loss, self._selector.last_best)
            self._relay.discard()
            return True
        self._fail()
        return False

    def _fail(self) -> None:
        """Respond to a request whose attempts all failed."""
        response = self._failed_response
        self._relay.discard()
        if response and response.forward_buffered():
            self._finish(self._report.failed_at_target)
            return
        now = self._context.clock.now()
        retry_delay = self._pool.retry_delay(
            self._incoming.requirements(self._tried), now
        )
        self._refuse(edgerefusals.attempts_failed(self._call, now, retry_delay))

    def _refuse_without_target(self) -> None:
        if self._call.losses:
            self._fail()
            return
        retry_delay = self._pool.retry_delay(
            self._incoming.requirements(self._tried),
            self._context.clock.now(),
            self._selector.last_best,
        )
        self._refuse(
            edgerefusals.no_target(
                self._pool.service, retry_delay, self._selector.withheld_by
            )
        )

    def _deliver(self, response: EdgeResponse) -> None:
        if response.is_buffered and not response.forward_buffered():
            self._is_finished = True
            self._relay.abort()
            return
        self._finish(self._report.answered)

    def _finish(self, report: Callable[[], None]) -> None:
        if not self._is_finished:
            self._is_finished = True
            report()
            self._relay.finish()

    def _refuse(self, problem: Problem) -> None:
        """Respond with an error; attempts that still run are cancelled."""
        if not self._is_finished:
            self._is_finished = True
            self._attempts.cancel()
            self._forwarder.cancel()
            if problem.ran is Ran.no:
                self._token_charge.give_back()
            self._report.refused(problem, self._selector.last_best)
            if self._relay.state is RelayState.streaming:
                self._relay.abort()
                return
            self._relay.send_problem(
                self._incoming.answer_with(
                    problem,
                    self._tried,
                    has_reached_target=self._call.has_reached_target,
                )
            )

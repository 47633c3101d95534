"""One request of a caller at an edge, from its head to its answer."""

import asyncio
from collections.abc import Callable
from typing import final

from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
)

from turmericmast.balance.pool import Candidate
from turmericmast.balance.scoring import Distance
from turmericmast.call.call import Call, Loss, NextStep, Ran
from turmericmast.events import Field
from turmericmast.ids import Seconds, TargetId
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web import edgerefusals
from turmericmast.web.body import Body
from turmericmast.web.edgeanswer import EdgeAnswer
from turmericmast.web.edgeattempt import EdgeAttempt
from turmericmast.web.edgechoosing import Chooser
from turmericmast.web.edgedesk import EdgeDesk
from turmericmast.web.edgeevents import (
    EdgeEvent,
    RequestLog,
    describe_choice,
    describe_problem,
)
from turmericmast.web.edgerace import EdgeRace
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.edgesuspecting import EdgeSuspecting
from turmericmast.web.problem import Problem
from turmericmast.web.relay import Relay, RelayState
from turmericmast.web.transfer import TransferRequest


@final
class EdgeExchange(HTTPMessageDelegate):
    """Finds a target, sends the request and gives the caller the answer."""

    def __init__(
        self,
        desk: EdgeDesk,
        connection: HTTPConnection,
        incoming: EdgeRequest,
    ) -> None:
        """Serve ``incoming`` as soon as its body allows."""
        self._desk = desk
        self._incoming = incoming
        self._pool = incoming.pool
        self._call = Call(incoming.call)
        self._log = RequestLog(
            desk.events,
            request=incoming.request_id,
            route=incoming.route.name,
            service=incoming.pool.service,
        )
        self._chooser = Chooser(desk, incoming.pool)
        self._body = Body()
        self._suspecting = EdgeSuspecting(desk, incoming.call, self._body)
        self._relay = Relay(
            connection,
            incoming.call.method,
            lambda: desk.edge.is_leaving,
        )
        self._profile = incoming.pool.profile(incoming.route.name)
        self._race = EdgeRace(self._profile)
        self._claimed: EdgeAnswer | None = None
        """The answer that goes to the caller."""
        self._refusal: EdgeAnswer | None = None
        """The last answer by which a target said that it failed."""
        self._task: asyncio.Task[None] | None = None
        self._tried: set[TargetId] = set()
        self._is_over = False
        """Whether the caller has its answer, or is gone."""

    async def data_received(self, chunk: bytes) -> None:
        """Take octets of the request body."""
        limits = self._desk.edge.route_table
        most = limits.document.limits.body_bytes if limits else 0
        if self._body.size + len(chunk) > most:
            self._refuse(edgerefusals.body_too_large(most))
            self._body.abandon()
            return
        if self._body.is_passed_on(len(chunk)):
            self._start()
        await self._body.push(chunk)

    def finish(self) -> None:
        """Note the end of the request body."""
        self._body.end()
        self._start()

    def on_connection_close(self) -> None:
        """The caller went away: nobody waits for the answer any more."""
        if not self._is_over:
            self._desk.metrics.count('requests', outcome='left')
            self._log.write(EdgeEvent.left, **self._progress())
        self._is_over = True
        self._body.abandon()
        self._race.cancel()

    def _start(self) -> None:
        if self._task is None and not self._is_over:
            self._desk.running += 1
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        try:
            await self._serve()
        except Exception as error:
            self._refuse(edgerefusals.unexpected(error))
            raise
        finally:
            self._desk.running -= 1
            self._body.abandon()

    async def _serve(self) -> None:
        self._pool.retry_budget.deposit()
        self._pool.request_rate.record(self._desk.clock.now())
        goes_on = True
        while goes_on and not self._is_over:
            left = self._suspecting.left()
            if left:
                self._refuse_suspect(left)
                return
            chosen = await self._chooser.choose(
                self._incoming.requirements(self._tried)
            )
            if self._is_over:
                # The caller left while targets were asked.
                return
            if chosen is None:
                self._refuse_unserved()
                return
            goes_on = await self._try(chosen)

    async def _try(self, chosen: Candidate) -> bool:
        """Try a target; tell whether to try another one."""
        first = self._begin(chosen)
        decided = await self._race.run(lambda: self._hedge(first))
        loss = decided.task.result()
        self._race.cancel(decided)
        for earlier in self._race.failed:
            self._fail_attempt(earlier)
        self._race = EdgeRace(self._profile)
        if loss is None:
            self._deliver(decided.answer)
            return False
        self._fail_attempt(decided)
        return self._goes_on(loss, decided.answer)

    def _fail_attempt(self, attempt: EdgeAttempt) -> None:
        loss = attempt.task.result()
        self._suspecting.note(attempt.chosen.view, loss)
        if loss:
            self._call.record_failure(loss)

    def _begin(self, chosen: Candidate) -> EdgeAttempt:
        self._call.start_attempt()
        self._tried.add(chosen.view.record.target)
        answer = EdgeAnswer(
            self._desk.dialect,
            self._incoming.request_id,
            self._relay,
            self._claim,
        )
        attempt = EdgeAttempt(
            self._desk,
            self._pool,
            chosen,
            answer,
            self._profile,
        )
        attempt.begin(self._make_request)
        self._relay.resume = self._race.resume
        self._race.add(attempt)
        return attempt

    def _claim(self, answer: EdgeAnswer) -> bool:
        """Let one answer at a time go to the caller."""
        if self._is_over or self._claimed is not None:
            return False
        self._claimed = answer
        return True

    def _hedge(self, first: EdgeAttempt) -> bool:
        """Begin a second attempt where that pays; tell whether to look on."""
        call = self._incoming.call
        is_possible = call.is_idempotent and self._body.can_replay
        if not is_possible or self._call.attempts >= call.max_attempts:
            return False
        if self._claimed or self._is_over:
            return False
        requirements = self._incoming.requirements(self._tried)
        now = self._desk.clock.now()
        estimate = self._pool.estimate(requirements, now)
        if first.hedge.needs_report(now):
            self._chooser.probe(first.chosen)
        if first.hedge.is_on_schedule(estimate, now):
            return True
        second = self._pool.best(requirements, Distance.remote, now)
        if second is None or not first.hedge.should_hedge(
            second, estimate, now
        ):
            return True
        if self._pool.retry_budget.try_withdraw():
            self._desk.metrics.count('repeats', loss='slow')
            self._log.write(
                EdgeEvent.hedged,
                **describe_choice(second, now),
                **self._progress(),
            )
            self._begin(second)
            return False
        return True

    def _make_request(
        self,
        chosen: Candidate,
        resume: Callable[[], None],
    ) -> TransferRequest:
        return self._incoming.onward(
            chosen.view.record,
            self._body,
            resume,
            Seconds(self._incoming.call.deadline - self._desk.clock.now()),
            self._desk.dialect,
        )

    def _goes_on(self, loss: Loss, answer: EdgeAnswer) -> bool:
        """Decide after a failed attempt; answer the caller if it ends."""
        if loss is Loss.failed:
            self._refusal = answer
        if self._is_over:
            return False
        now = self._desk.clock.now()
        if self._relay.state is RelayState.streaming:
            self._is_over = True
            self._desk.metrics.count('requests', outcome='broken_off')
            self._log.write(
                EdgeEvent.broken_off,
                loss=loss.value,
                **self._progress(),
            )
            self._relay.break_off()
            return False
        step = self._call.next_step(now, can_replay=self._body.can_replay)
        is_free = loss is Loss.never_sent
        if step is NextStep.retry and (
            is_free or self._pool.retry_budget.try_withdraw()
        ):
            self._desk.metrics.count('repeats', loss=loss.value)
            self._log.write(
                EdgeEvent.repeated,
                loss=loss.value,
                **describe_choice(
                    self._chooser.last,
                    self._desk.clock.now(),
                ),
                **self._progress(),
            )
            self._claimed = None
            self._relay.forget()
            return True
        self._fail()
        return False

    def _fail(self) -> None:
        """Answer a request whose attempts all failed."""
        refusal = self._refusal
        self._relay.forget()
        if refusal and refusal.pass_on():
            self._log.write(EdgeEvent.target_failed, **self._progress())
            self._finish('target_failed')
            return
        now = self._desk.clock.now()
        returns_in = self._pool.retry_delay(
            self._incoming.requirements(self._tried), now
        )
        self._refuse(edgerefusals.lost(self._call, now, returns_in))

    def _refuse_suspect(self, left: float) -> None:
        if self._call.ran is Ran.no:
            self._refuse(edgerefusals.quarantined(left))
        else:
            self._fail()

    def _refuse_unserved(self) -> None:
        if self._call.losses:
            self._fail()
            return
        now = self._desk.clock.now()
        returns_in = self._pool.retry_delay(
            self._incoming.requirements(self._tried), now
        )
        self._refuse(edgerefusals.no_room(self._pool.service, returns_in))

    def _deliver(self, answer: EdgeAnswer) -> None:
        if answer.is_plain_refusal and not answer.pass_on():
            self._is_over = True
            self._relay.break_off()
            return
        self._finish('answered')

    def _finish(self, outcome: str) -> None:
        if not self._is_over:
            self._is_over = True
            self._count(outcome)
            self._relay.finish()

    def _refuse(self, problem: Problem) -> None:
        if not self._is_over:
            self._is_over = True
            self._count(f'refused_{problem.status:d}')
            self._log.write(
                EdgeEvent.refused,
                **describe_problem(problem),
                **describe_choice(self._chooser.last, self._desk.clock.now()),
                **self._progress(),
            )
            self._relay.refuse(problem)

    def _progress(self) -> dict[str, Field]:
        """Return how far the request has come, for the log."""
        now = self._desk.clock.now()
        return {
            'tried': ','.join(sorted(self._tried)),
            'losses': ','.join(loss.value for loss in self._call.losses),
            'waited_ms': int(
                (now - self._incoming.began_at) * MILLIS_PER_SECOND
            ),
            'left_ms': int(
                (self._incoming.call.deadline - now) * MILLIS_PER_SECOND
            ),
            'cluster_index': self._desk.edge.index,
        }

    def _count(self, outcome: str) -> None:
        now = self._desk.clock.now()
        self._desk.metrics.count('requests', outcome=outcome)
        self._desk.metrics.record(
            'request',
            now - self._incoming.began_at,
            service=self._pool.service,
        )

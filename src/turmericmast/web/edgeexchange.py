"""One request of a caller at an edge, from its head to its answer."""

import asyncio
import dataclasses
from typing import final

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
)

from turmericmast.balance.pool import Ask, Candidate, Pool
from turmericmast.call.call import Call, CallRequest, Loss, Next
from turmericmast.ids import Seconds, TargetId
from turmericmast.route.document import Route
from turmericmast.web import edgerefusals
from turmericmast.web.body import Body
from turmericmast.web.edgeanswer import EdgeAnswer
from turmericmast.web.edgechoosing import Chooser
from turmericmast.web.edgedesk import EdgeDesk
from turmericmast.web.parse import forwarded_headers
from turmericmast.web.problem import Problem
from turmericmast.web.relay import Relay, RelayState
from turmericmast.web.sending import METHODS_WITH_BODY
from turmericmast.web.transfer import Progress, Transfer, TransferRequest


@final
@dataclasses.dataclass(frozen=True)
class EdgeRequest:
    """A request as it arrived, with its route."""

    start: RequestStartLine
    headers: HTTPHeaders
    route: Route
    pool: Pool
    call: CallRequest
    request_id: str
    began_at: Seconds


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
        self._chooser = Chooser(desk, incoming.pool)
        self._body = Body()
        self._relay = Relay(
            connection,
            incoming.call.method,
            lambda: desk.edge.is_leaving,
        )
        self._transfer: Transfer | None = None
        self._task: asyncio.Task[None] | None = None
        self._tried: set[TargetId] = set()
        self._is_over = False
        """Whether the caller has its answer, or is gone."""

    async def data_received(self, chunk: bytes) -> None:
        """Take octets of the request body."""
        limits = self._desk.edge.table
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
        self._is_over = True
        self._body.abandon()
        if self._transfer:
            self._transfer.cancel()

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
        self._pool.repeats.earn()
        goes_on = True
        while goes_on and not self._is_over:
            chosen = await self._chooser.choose(self._ask())
            if chosen is None:
                self._refuse_unserved()
                return
            goes_on = await self._attempt(chosen)

    def _ask(self) -> Ask:
        route = self._incoming.route
        return Ask(
            aim_at=Seconds(self._incoming.began_at + route.aim),
            deadline=self._incoming.call.deadline,
            home_regions=route.home_regions,
            avoid=self._tried,
        )

    async def _attempt(self, chosen: Candidate) -> bool:
        """Make one attempt; tell whether to make another one."""
        standing = chosen.standing
        began_at = self._desk.clock.now()
        slowness = standing.report.slowness
        self._call.begin()
        self._tried.add(standing.record.target)
        self._relay.forget()
        answer = EdgeAnswer(
            self._desk.dialect,
            self._incoming.request_id,
            self._relay,
        )
        self._pool.start(standing, began_at)
        transfer = self._make_transfer(chosen, answer, began_at)
        self._relay.resume = transfer.resume
        self._transfer = transfer
        ended = await transfer.run()
        self._transfer = None
        loss = answer.judge(ended)
        now = self._desk.clock.now()
        if answer.load:
            standing.hear_load(answer.load, now)
        self._note_end(chosen, transfer, answer, loss)
        if loss is None:
            self._pool.learn(now - began_at, slowness, answer.octets)
            self._deliver(answer)
            return False
        return self._goes_on(loss, answer)

    def _note_end(
        self,
        chosen: Candidate,
        transfer: Transfer,
        answer: EdgeAnswer,
        loss: Loss | None,
    ) -> None:
        standing = chosen.standing
        if self._is_over or transfer.progress is Progress.vetoed:
            standing.leave()
            return
        standing.end(loss, self._desk.clock.now())
        if answer.is_misdirected:
            standing.shun_misplaced()

    def _make_transfer(
        self,
        chosen: Candidate,
        answer: EdgeAnswer,
        now: Seconds,
    ) -> Transfer:
        incoming = self._incoming
        record = chosen.standing.record
        left = Seconds(incoming.call.deadline - now)
        has_body = self._body.size or incoming.call.method in METHODS_WITH_BODY
        length = incoming.headers.get('Content-Length')
        whole = self._body.size if self._body.is_complete else -1
        return Transfer(
            self._desk.curl,
            TransferRequest(
                url=f'http://{record.address}{incoming.start.path}',
                method=incoming.call.method,
                headers=forwarded_headers(
                    incoming.headers,
                    self._desk.dialect.own_names,
                    self._desk.dialect.onward(record.target, left),
                ),
                timeout=left,
                body=self._body.reader(self._resume) if has_body else None,
                body_size=int(length) if length else whole,
            ),
            answer,
            lambda: self._may_send(chosen),
        )

    def _may_send(self, chosen: Candidate) -> bool:
        return not self._is_over and self._desk.edge.may_send(chosen.standing)

    def _resume(self) -> None:
        if self._transfer:
            self._transfer.resume()

    def _goes_on(self, loss: Loss, answer: EdgeAnswer) -> bool:
        """Decide after a failed attempt; answer the caller if it ends."""
        self._call.fail(loss)
        if self._is_over:
            return False
        now = self._desk.clock.now()
        if self._relay.state is RelayState.streaming:
            self._is_over = True
            self._desk.metrics.count('requests', outcome='broken_off')
            self._relay.break_off()
            return False
        step = self._call.next_step(now, can_replay=self._body.can_replay)
        if step is Next.retry and self._is_affordable(loss):
            self._desk.metrics.count('repeats', loss=loss.value)
            return True
        self._fail(loss, answer)
        return False

    def _is_affordable(self, loss: Loss) -> bool:
        return loss is Loss.never_sent or self._pool.repeats.spend()

    def _fail(self, loss: Loss, answer: EdgeAnswer) -> None:
        if loss is Loss.failed and answer.pass_on():
            self._finish('target_failed')
            return
        now = self._desk.clock.now()
        returns_in = self._pool.opens_in(self._ask(), now)
        self._refuse(edgerefusals.lost(self._call, now, returns_in))

    def _refuse_unserved(self) -> None:
        now = self._desk.clock.now()
        returns_in = self._pool.opens_in(self._ask(), now)
        if self._call.losses:
            self._refuse(edgerefusals.lost(self._call, now, returns_in))
        else:
            self._refuse(
                edgerefusals.no_room(self._pool.service, returns_in),
            )

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
            self._relay.refuse(problem)

    def _count(self, outcome: str) -> None:
        now = self._desk.clock.now()
        self._desk.metrics.count('requests', outcome=outcome)
        self._desk.metrics.record(
            'request',
            now - self._incoming.began_at,
            service=self._pool.service,
        )

"""One request of a caller, from its first byte to the end of its answer."""

import asyncio
import dataclasses
from typing import TYPE_CHECKING, final

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from turmericmast.call.call import Call, CallRequest, Loss, Next, Ran
from turmericmast.entry.routing import Way
from turmericmast.fleet.values import Values
from turmericmast.ids import Fingerprint, TargetId
from turmericmast.service.service import Dispatch
from turmericmast.target.target import Ending
from turmericmast.web.body import Body
from turmericmast.web.keeping import Keeper
from turmericmast.web.parse import CLOCK, HOPS, onward_headers
from turmericmast.web.problem import RAN_HEADER, Problem
from turmericmast.web.relay import Relay, RelayState
from turmericmast.web.transfer import Transfer, TransferRequest

if TYPE_CHECKING:
    from turmericmast.web.desk import Desk

SHED_STATUS = 503
SERVER_ERRORS = 500
MAX_HAND_ON_TRIES = 3
MILLIS_PER_SECOND = 1000

_ENDING_BY_LOSS = {
    Loss.never_sent: Ending.refused,
    Loss.shed: Ending.shed,
    Loss.connection_lost: Ending.lost,
    Loss.timed_out: Ending.error,
    Loss.cut_short: Ending.lost,
}


@final
@dataclasses.dataclass(frozen=True)
class Incoming:
    """A request as it arrived."""

    start: RequestStartLine
    headers: HTTPHeaders
    request: CallRequest
    values: Values


@final
class Exchange(HTTPMessageDelegate):
    """Serves one call: here, by another entry, or not at all."""

    def __init__(
        self,
        desk: 'Desk',
        connection: HTTPConnection,
        incoming: Incoming,
    ) -> None:
        """Serve ``incoming`` as soon as its body allows."""
        self._desk = desk
        self._connection = connection
        self._incoming = incoming
        self._request = incoming.request
        self._call = Call(incoming.request)
        self._body = Body()
        self._relay = Relay(connection, incoming.request.method)
        self._transfer: Transfer | None = None
        self._is_over = False
        self._keeper = Keeper(desk, incoming.request, incoming.values)
        self._task = asyncio.ensure_future(self._run())

    async def data_received(self, chunk: bytes) -> None:
        """Take octets of the request body."""
        if self._body.size + len(chunk) > self._incoming.values.max_body_bytes:
            self._fail(self.too_large(self._incoming.values))
            return
        await self._body.push(chunk)

    def finish(self) -> None:
        """Note the end of the request body."""
        self._body.end()

    def on_connection_close(self) -> None:
        """The caller went away: stop whatever is only for its sake."""
        self._is_over = True
        self._body.abandon()
        self._desk.leave_queue(self._request.service, self._request.call)
        if self._transfer and not self._request.is_kept:
            self._transfer.cancel()

    @staticmethod
    def too_large(values: Values) -> Problem:
        """Return the problem of a body over the limit."""
        return Problem(
            413,
            'Body too large',
            f'at most {values.max_body_bytes} octets are allowed; '
            'send less or ask the operators to raise max_body_bytes',
            'read request',
            Ran.no,
        )

    async def _run(self) -> None:
        started = self._desk.clock.now()
        self._desk.running += 1
        try:
            await self._body.is_ready.wait()
            if not self._is_over:
                await self._serve()
        except Exception as error:
            self._desk.metrics.count('calls_broken')
            self._fail(self._unexpected(error))
            raise
        finally:
            self._desk.running -= 1
            self._is_over = True
            self._body.abandon()
            took = self._desk.clock.now() - started
            self._desk.metrics.record('call', took)

    async def _serve(self) -> None:
        fingerprint = self._known_suspect()
        if fingerprint and self._is_quarantined(fingerprint):
            self._fail(self._quarantined(fingerprint))
            return
        route = self._desk.entry.route(self._request, self._desk.clock.now())
        if route.way is Way.local:
            await self._serve_here()
        elif route.way is Way.hand_on:
            await self._hand_on(route.addresses)
        elif route.way is Way.misdirected:
            self._fail(misdirected(route.addresses))
        else:
            self._fail(self._no_target())

    async def _serve_here(self) -> None:
        problem = await self._keeper.begin(self._body)
        if problem:
            self._fail(problem)
            return
        if self._keeper.kept:
            self._replay()
            return
        avoid = TargetId('')
        while True:
            dispatch = await self._desk.slot(self._request, avoid)
            if dispatch is None:
                await self._leave_unserved()
                return
            loss = await self._attempt(dispatch)
            if loss is None:
                await self._deliver()
                return
            avoid = dispatch.target
            if not await self._goes_on(loss):
                return

    async def _attempt(self, dispatch: Dispatch) -> Loss | None:
        self._call.begin()
        started_ms = self._desk.clock.wall()
        headers = self._resume_headers()
        loss = await self._transmit(
            dispatch.address,
            self._request.path,
            headers,
            dispatch.target,
        )
        loss = loss or self._refusal()
        self._desk.release(
            dispatch,
            self._request.service,
            self._ending(loss),
        )
        if loss in {Loss.connection_lost, Loss.cut_short}:
            await self._report_crash(started_ms)
        return loss

    def _ending(self, loss: Loss | None) -> Ending:
        if self._is_over:
            return Ending.cancelled
        if loss is not None:
            return _ENDING_BY_LOSS[loss]
        head = self._relay.head
        is_error = head is not None and head.status >= SERVER_ERRORS
        return Ending.error if is_error else Ending.success

    def _refusal(self) -> Loss | None:
        """Tell what an answer that arrived whole really is."""
        head = self._relay.head
        if head is None or self._relay.state is RelayState.broken:
            return Loss.cut_short
        if not self._relay.is_delimited:
            return Loss.cut_short
        ran = head.headers.get(RAN_HEADER, '')
        if head.status == SHED_STATUS and ran == Ran.no.value:
            return Loss.shed
        return None

    async def _transmit(
        self,
        address: str,
        path: str,
        extra: tuple[tuple[str, str], ...],
        target: TargetId | None,
    ) -> Loss | None:
        now = self._desk.clock.now()
        request = self._request
        has_body = self._body.size > 0 or request.method in {
            'POST',
            'PUT',
            'PATCH',
        }
        length = self._incoming.headers.get('Content-Length')
        size = self._body.size if self._body.is_complete else -1
        transfer = Transfer(
            self._desk.curl,
            TransferRequest(
                url=f'http://{address}{path}',
                method=request.method,
                headers=onward_headers(
                    self._incoming.headers,
                    request,
                    now,
                    extra,
                ),
                timeout=request.deadline - now,
                body=self._body.reader(self._resume) if has_body else None,
                body_size=int(length) if length else size,
            ),
            self._relay,
            lambda: self._may_send(target),
        )
        self._transfer = transfer
        self._relay.resume = transfer.resume
        if self._is_over:
            transfer.cancel()
        return await transfer.run()

    def _resume(self) -> None:
        if self._transfer:
            self._transfer.resume()

    def _may_send(self, target: TargetId | None) -> bool:
        if self._is_over:
            return False
        return target is None or self._desk.entry.may_send(
            target,
            self._desk.clock.now(),
        )

    def _resume_headers(self) -> tuple[tuple[str, str], ...]:
        if self._relay.state is RelayState.streaming:
            return self._relay.range_headers() or ()
        self._relay.forget()
        return ()

    async def _goes_on(self, loss: Loss) -> bool:
        """Decide after a failed attempt; report to the caller if it ends."""
        self._call.fail(loss)
        now = self._desk.clock.now()
        if self._is_over and not self._request.is_kept:
            return False
        if self._relay.state is RelayState.streaming:
            return self._can_continue_stream()
        self._call.has_answered = False
        step = self._call.next_step(now, can_replay=self._can_replay())
        is_allowed = step is Next.retry and self._spend(loss)
        if is_allowed and not self._was_quarantined():
            self._desk.metrics.count('retries', loss=loss.value)
            return True
        await self._keeper.close_failed(self._call.ran, self._body)
        self._fail(self._lost(loss))
        return False

    def _can_continue_stream(self) -> bool:
        has_time = self._desk.clock.now() < self._request.deadline
        if has_time and self._relay.range_headers() and self._spend(None):
            self._desk.metrics.count('downloads_resumed')
            return True
        self._break_connection()
        return False

    def _can_replay(self) -> bool:
        return self._body.is_held or self._body.size == 0

    def _spend(self, loss: Loss | None) -> bool:
        if loss is Loss.never_sent:
            return True
        ownership = self._desk.entry.ownership
        service = ownership.service_by_id.get(self._request.service)
        return service is not None and service.budget.spend()

    async def _deliver(self) -> None:
        await self._acquit()
        head = self._relay.head
        if head and self._keeper.is_open:
            is_whole = self._relay.state is not RelayState.streaming
            await self._keeper.settle(head, self._relay.body(), is_whole)
        self._count('answered')
        if not self._is_over:
            self._relay.finish()

    async def _hand_on(self, addresses: tuple[str, ...]) -> None:
        clock = self._desk.events.clock
        extra = (
            (HOPS, str(self._request.hops + 1)),
            (CLOCK, str(clock.tick().pack())),
        )
        path = self._incoming.start.path
        loss: Loss | None = Loss.never_sent
        for address in addresses[:MAX_HAND_ON_TRIES]:
            self._relay.forget()
            self._call.begin()
            loss = await self._transmit(address, path, extra, None)
            self._desk.metrics.count('handed_on')
            if loss is None and self._relay.is_delimited:
                self._count('handed_on')
                if not self._is_over:
                    self._relay.finish()
                return
            self._call.fail(loss or Loss.cut_short)
            if loss is not Loss.never_sent or not self._can_replay():
                break
        if self._relay.state is RelayState.streaming:
            self._break_connection()
        else:
            self._fail(self._lost(loss or Loss.cut_short))

    async def _leave_unserved(self) -> None:
        await self._keeper.close_failed(self._call.ran, self._body)
        if self._relay.state is RelayState.streaming:
            self._break_connection()
            return
        is_first = self._request.hops == 0 and not self._call.attempts
        if is_first and self._can_replay() and not self._is_over:
            route = self._desk.entry.router.onward(self._request)
            if route.way is Way.hand_on:
                await self._hand_on(route.addresses)
                return
        self._fail(self._shed())

    def _replay(self) -> None:
        kept = self._keeper.kept
        if kept is None or self._is_over:
            return
        headers = HTTPHeaders()
        for header in kept.headers:
            headers.add(header.name, header.content)
        headers['Content-Length'] = str(len(kept.body))
        headers['Turmericmast-Replayed'] = '1'
        self._count('replayed')
        start = ResponseStartLine('HTTP/1.1', kept.status, kept.reason)
        self._connection.write_headers(start, headers, kept.body)
        self._connection.finish()

    def _known_suspect(self) -> Fingerprint | None:
        """Return the fingerprint when any request is suspect at all."""
        if not self._desk.entry.view.suspicion_by_fingerprint:
            return None
        return self._request.fingerprint(self._body.held())

    def _is_quarantined(self, fingerprint: Fingerprint) -> bool:
        view = self._desk.entry.view
        return view.is_quarantined(fingerprint, self._desk.clock.wall())

    def _was_quarantined(self) -> bool:
        fingerprint = self._known_suspect()
        return fingerprint is not None and self._is_quarantined(fingerprint)

    async def _report_crash(self, started_ms: int) -> None:
        fingerprint = self._request.fingerprint(self._body.held())
        if await self._desk.suspect(fingerprint, started_ms):
            self._desk.metrics.count('quarantines')

    async def _acquit(self) -> None:
        fingerprint = self._known_suspect()
        table = self._desk.entry.view.suspicion_by_fingerprint
        if fingerprint in table or self._call.crashes:
            await self._desk.acquit(
                fingerprint or self._request.fingerprint(self._body.held()),
            )

    def _fail(self, problem: Problem) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._count(f'refused_{problem.status}')
        start = ResponseStartLine('HTTP/1.1', problem.status, problem.reason)
        headers = problem.headers()
        body = problem.body()
        headers['Content-Length'] = str(len(body))
        is_head = self._request.method == 'HEAD'
        self._connection.write_headers(
            start,
            headers,
            b'' if is_head else body,
        )
        self._connection.finish()
        self._body.abandon()

    def _break_connection(self) -> None:
        """Let the caller see that its answer is not whole."""
        self._is_over = True
        self._count('broken_off')
        close = getattr(self._connection, 'close', None)
        if close:
            close()

    def _count(self, outcome: str) -> None:
        self._desk.metrics.count('calls', outcome=outcome)

    def _lost(self, loss: Loss) -> Problem:
        ran = self._call.ran
        status = 504 if loss is Loss.timed_out else 502
        return Problem(
            503 if ran is Ran.no else status,
            'No answer from a target',
            f'{loss.value} after {self._call.attempts} attempts',
            'send to target',
            ran,
            peer=self._request.service,
            retry_after_ms=1000 if ran is Ran.no else 0,
        )

    def _shed(self) -> Problem:
        is_late = self._desk.clock.now() >= self._request.deadline
        return Problem(
            504 if is_late else 503,
            'No free target in time',
            'the request waited for a slot until there was no time left'
            if is_late
            else 'more requests are waiting than can be served in time',
            'wait for slot',
            self._call.ran,
            peer=self._request.service,
            retry_after_ms=1000,
        )

    def _no_target(self) -> Problem:
        entry = self._desk.entry
        return Problem(
            503,
            'No target',
            f'no target of {self._request.service} can be reached from here; '
            'ask for addresses again',
            'route',
            Ran.no,
            peer=entry.instance,
            retry_after_ms=1000,
            addresses=entry.router.addresses(
                self._request.service,
                entry.domain,
                self._request.home_regions,
            ),
        )

    def _quarantined(self, fingerprint: Fingerprint) -> Problem:
        return Problem(
            503,
            'Quarantined',
            f'request {fingerprint} ended in lost targets before; change it, '
            'or have operators lift the quarantine',
            'check quarantine',
            Ran.no,
            peer=self._desk.entry.instance,
        )

    def _unexpected(self, error: Exception) -> Problem:
        return Problem(
            500,
            'Internal error',
            type(error).__name__,
            'serve call',
            self._call.ran if self._call.losses else Ran.unknown,
            peer=self._desk.entry.instance,
        )


def misdirected(addresses: tuple[str, ...]) -> Problem:
    """Return the problem of a call outside of its home regions."""
    return Problem(
        421,
        'Not in a home region',
        'this request may only be served in its home regions; '
        'send it to one of the addresses',
        'check home regions',
        Ran.no,
        addresses=addresses,
    )

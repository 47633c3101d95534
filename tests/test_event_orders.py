"""Orders of the events of one request's attempts, drawn at random.

``python -m tests.test_event_orders FIRST LAST`` plays more seeds by hand.
"""

import asyncio
import contextlib
import dataclasses
import functools
import random
import sys
import time
import unittest.mock
from collections.abc import Callable, Iterator, Sequence
from http import HTTPStatus
from typing import Any, TypeAlias, final

from parameterized import parameterized
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders

from tests.edge_harness import EdgeHarness
from tests.edge_samples import instance, target
from turmericmast.balance.candidate import Candidate
from turmericmast.balance.hedge import Hedge
from turmericmast.balance.scoring import Distance
from turmericmast.call.call import Loss
from turmericmast.web import edgeattempt, peerforwarder
from turmericmast.web.body import MAX_BUFFERED_BYTES
from turmericmast.web.edgeexchange import EdgeExchange
from turmericmast.web.malformed import MalformedResponseError
from turmericmast.web.transfer import Progress, ResponseHead

SEEDS = range(300)
"""Orders that each run of the tests plays."""
GROUPS = 4
SHORT, LONG = 10, MAX_BUFFERED_BYTES + 1
"""Bytes of a chunk that is buffered, and of one that is streamed."""
SETTLING_TURNS = 8
"""Iterations of the loop after which nothing more happens by itself."""
TURNS = (0, 0, 1, 2, 3, SETTLING_TURNS)
"""Iterations of the loop between two events."""
TARGETS = ('1', '2', '3', '4')
HEDGE_SHARE = 0.4
"""Share of the checks for a hedge that start one."""
REQUEST_ID = 'r'
SIGNATURE = 'X-Response-Signature'
PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that tell the caller that its request has not run."""
BODY_SIZES: tuple[tuple[int, ...], ...] = (
    (),
    (SHORT,),
    (SHORT, SHORT),
    (LONG,),
    (SHORT, LONG),
    (LONG, SHORT),
    (LONG, LONG, SHORT),
)
ENDS = (None, None, None, Loss.cut_short, Loss.timed_out)

Event: TypeAlias = HTTPStatus | bytes | Loss | None
"""A head with this status, a chunk, a failure, or the end of the response."""


@final
@dataclasses.dataclass(frozen=True)
class Script:
    """What a target sends in response to one attempt."""

    number: int
    status: HTTPStatus | None
    """``None`` if the attempt fails before a head arrives."""
    is_not_run: bool
    chunks: tuple[bytes, ...]
    end: Loss | None
    request_id: str = REQUEST_ID
    """That of another request if a target writes an earlier response."""

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b''.join(self.chunks)

    @property
    def has_not_run(self) -> bool:
        """Tell whether the target cannot have run the request."""
        is_refusal = self.is_not_run and self.request_id == REQUEST_ID
        return is_refusal or self.end is Loss.never_sent

    def events(self) -> Iterator[Event]:
        """Return what arrives one after the other."""
        if self.status:
            yield self.status
        yield from self.chunks
        yield self.end

    def headers(self) -> HTTPHeaders:
        """Return the headers, in which the signature tells the attempt."""
        headers = HTTPHeaders(
            {'X-Request-Id': self.request_id, SIGNATURE: str(self.number)}
        )
        if self.is_not_run:
            headers['X-Not-Executed'] = '1'
        if self.number % 2:
            headers['Content-Length'] = str(len(self.body))
        return headers


@final
class Caller(HTTP1Connection):
    """The connection of a caller, which may read slowly."""

    def __init__(self, *, is_slow: bool) -> None:
        self.heads: list[tuple[int, HTTPHeaders]] = []
        self.body = bytearray()
        self.is_finished = False
        self.is_closed = False
        self.faults: list[str] = []
        self._is_slow = is_slow
        self._pending: list[asyncio.Future[None]] = []

    def write_headers(
        self, start_line: Any, headers: HTTPHeaders, chunk: Any = None
    ) -> 'asyncio.Future[None]':
        """Receive a head."""
        self.heads.append((start_line.code, headers))
        return self.write(chunk or b'')

    def write(self, chunk: Any) -> 'asyncio.Future[None]':
        """Receive a part of the body; the result waits for a slow caller."""
        if self.is_finished:
            self.faults.append('bytes after the end')
        self.body += chunk
        written: asyncio.Future[None] = asyncio.Future()
        if self._is_slow:
            self._pending.append(written)
        else:
            written.set_result(None)
        return written

    def finish(self) -> None:
        """Receive the end."""
        if self.is_finished:
            self.faults.append('two ends')
        self.is_finished = True

    def close(self) -> None:
        """Close the connection."""
        self.is_closed = True

    @property
    def has_pending(self) -> bool:
        """Tell whether there is anything to read."""
        return bool(self._pending)

    def read(self) -> None:
        """Read what is pending."""
        for written in self._pending:
            written.set_result(None)
        self._pending.clear()


@final
class ScriptedTransfer:
    """A transfer that receives the response in a script."""

    def __init__(self, script: Script, sink: Any) -> None:
        self.script = script
        self.progress = Progress.sending
        self.malformed: MalformedResponseError | None = None
        self._sink = sink
        self._events: list[Event] = list(script.events())
        self._is_paused = False
        self._end: asyncio.Future[Loss | None] = asyncio.Future()

    @property
    def may_act(self) -> bool:
        """Tell whether the target has anything more to send."""
        is_held = self._is_paused and self._events[0] is not Loss.timed_out
        return not self._end.done() and bool(self._events) and not is_held

    async def run(self) -> Loss | None:
        """Wait for the end of the response."""
        return await self._end

    def cancel(self) -> None:
        """End the transfer, as ``Transfer.cancel`` does."""
        self._settle(Loss.timed_out)

    def resume(self) -> None:
        """Receive again the chunk that has paused the transfer."""
        if self._is_paused and not self._end.done():
            self._is_paused = False
            self.act()

    def act(self) -> None:
        """Receive the next event."""
        event = self._events[0]
        if isinstance(event, bytes):
            self._receive(event)
            return
        self._events.pop(0)
        if isinstance(event, HTTPStatus):
            self.progress = Progress.head
            head = ResponseHead(event, '', self.script.headers())
            if not self._sink.on_head(head):
                self._settle(Loss.cut_short)
        else:
            self._settle(event)

    def _receive(self, chunk: bytes) -> None:
        if not self._sink.on_chunk(chunk):
            self._is_paused = True
            return
        self._events.pop(0)
        if self._sink.is_overfull:
            self._settle(Loss.cut_short)

    def _settle(self, loss: Loss | None) -> None:
        if not self._end.done():
            self._end.set_result(loss)


@final
class Play:
    """One request with scripts and an order that a seed determines."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.scripts = [
            self._draw_script(number) for number in range(len(TARGETS))
        ]
        self._is_hedged = self._random.random() < 0.8
        self._leaves = self._random.random() < 0.1
        self._has_peer = self._random.random() < 0.3
        self._transfers: list[ScriptedTransfer] = []
        self.caller = Caller(is_slow=self._random.random() < 0.4)
        self.has_left = False
        self.trace: list[str] = []

    async def run(self) -> str:
        """Return what is wrong with the response, empty if nothing is."""
        harness = EdgeHarness(*map(target, TARGETS))
        incoming = harness.read()
        incoming = dataclasses.replace(
            incoming, call=dataclasses.replace(incoming.call, max_attempts=4)
        )
        exchange = EdgeExchange(harness.context, self.caller, incoming)
        with self._scripted(exchange, harness):
            exchange._body.mark_complete()
            task = asyncio.ensure_future(exchange._serve())
            fault = await self._play(exchange, task)
            for transfer in self._transfers:
                transfer.cancel()
            await _turn(SETTLING_TURNS)
        if not task.done():
            task.cancel()
            return fault or 'the exchange does not end'
        return fault or self._fault_at_end(task)

    async def _play(
        self, exchange: EdgeExchange, task: 'asyncio.Task[None]'
    ) -> str:
        await _turn(self._random.choice(TURNS) + 1)
        while not task.done() or self._actors():
            actors = self._actors() or await self._settled_actors()
            if not actors and not task.done():
                return 'the exchange does not end'
            if actors:
                self._random.choice(actors)(exchange)
            fault = self._fault()
            if fault:
                return fault
            await _turn(self._random.choice(TURNS))
        await _turn(SETTLING_TURNS)
        return self._fault()

    async def _settled_actors(
        self,
    ) -> Sequence[Callable[[EdgeExchange], None]]:
        """Return what may happen once the exchange has gone on."""
        await _turn(SETTLING_TURNS)
        return self._actors()

    def _actors(self) -> Sequence[Callable[[EdgeExchange], None]]:
        """Return what may happen next."""
        actors: list[Callable[[EdgeExchange], None]] = [
            functools.partial(self._arrive, transfer)
            for transfer in self._transfers
            if transfer.may_act
        ]
        if self.caller.has_pending:
            actors.append(self._read)
        if self._leaves and self._transfers:
            actors.append(self._leave)
        return actors

    def _arrive(self, transfer: ScriptedTransfer, _exchange: object) -> None:
        self.trace.append(str(transfer.script.number))
        transfer.act()

    def _read(self, _exchange: object) -> None:
        self.trace.append('read')
        self.caller.read()

    def _leave(self, exchange: EdgeExchange) -> None:
        self._leaves = False
        self.has_left = True
        self.trace.append('leave')
        exchange.on_connection_close()

    @contextlib.contextmanager
    def _scripted(
        self, exchange: EdgeExchange, harness: EdgeHarness
    ) -> Iterator[None]:
        names = TARGETS[: len(TARGETS) - self._has_peer]
        candidates = (_candidate(harness, name) for name in names)
        peers = iter([instance('b')] if self._has_peer else [])

        def transfer(*arguments: Any) -> ScriptedTransfer:
            script = self.scripts[len(self._transfers)]
            self._transfers.append(ScriptedTransfer(script, arguments[2]))
            return self._transfers[-1]

        def second(*_arguments: object) -> Any:
            may_start = self._is_hedged and self._random.random() < HEDGE_SHARE
            return next(candidates, None) if may_start else None

        async def select(_requirements: object) -> Any:
            return next(candidates, None)

        replacements = (
            (Hedge, 'first_check_delay', _always(0)),
            (Hedge, 'check_interval', _always(0)),
            (Hedge, 'needs_report', _always(False)),
            (Hedge, 'is_on_schedule', _always(False)),
            (Hedge, 'should_hedge', _always(True)),
            (exchange._pool, 'best', second),
            (exchange._pool, 'retry_budget', unittest.mock.Mock()),
            (exchange._selector, 'select', select),
            (exchange._selector, 'is_doubtful', _is_missing),
            (
                harness.edge.peers,
                'choose',
                lambda *_, is_repeat: next(peers, None),
            ),
            (edgeattempt, 'Transfer', transfer),
            (peerforwarder, 'Transfer', transfer),
        )
        with contextlib.ExitStack() as stack:
            for place, name, replacement in replacements:
                stack.enter_context(
                    unittest.mock.patch.object(place, name, replacement)
                )
            yield

    def _fault(self) -> str:
        """Return what is wrong with what the caller has got so far."""
        caller = self.caller
        if caller.faults:
            return caller.faults[0]
        if not caller.heads:
            return 'a body without a head' if caller.body else ''
        if len(caller.heads) > 1:
            return 'two heads'
        status, headers = caller.heads[0]
        if SIGNATURE not in headers:
            return self._fault_of_problem(status)
        return self._fault_of_response(
            status, self.scripts[int(headers[SIGNATURE])]
        )

    def _fault_of_response(self, status: int, script: Script) -> str:
        """Return what is wrong with the response of an attempt."""
        received = bytes(self.caller.body)
        if script.request_id != REQUEST_ID:
            return 'the response to another request'
        if status != script.status:
            return f'{status} with the headers of {script.status}'
        if not script.body.startswith(received):
            return 'the body is not that of the head'
        is_whole = script.end is None and received == script.body
        if self.caller.is_finished and not is_whole:
            return f'a complete {status}, but the response was not whole'
        return ''

    def _fault_of_problem(self, status: int) -> str:
        """Return what is wrong with an error that the instance generated."""
        if status in PROMISES:
            ran = [
                transfer.script.number
                for transfer in self._transfers
                if not transfer.script.has_not_run
            ]
            return f'{status}, but attempts {ran} may have run' if ran else ''
        return '' if status >= HTTPStatus.BAD_REQUEST else f'{status} unsigned'

    def _fault_at_end(self, task: 'asyncio.Task[None]') -> str:
        caller = self.caller
        if task.exception():
            return repr(task.exception())
        if caller.is_finished or caller.is_closed or self.has_left:
            return ''
        return 'the response has no end'

    def _draw_script(self, number: int) -> Script:
        status = self._random.choice(
            (
                None,
                HTTPStatus.OK,
                HTTPStatus.OK,
                HTTPStatus.OK,
                HTTPStatus.NOT_FOUND,
                HTTPStatus.TOO_MANY_REQUESTS,
                HTTPStatus.INTERNAL_SERVER_ERROR,
                HTTPStatus.SERVICE_UNAVAILABLE,
                HTTPStatus.MISDIRECTED_REQUEST,
            )
        )
        if status is None:
            end = self._random.choice(
                (Loss.never_sent, Loss.connection_lost, Loss.timed_out)
            )
            return Script(number, None, False, (), end)
        is_refusal = status in PROMISES
        letter = b'abcd'[number : number + 1]
        return Script(
            number,
            status,
            is_refusal
            and self._random.random() < 0.8
            or status is HTTPStatus.MISDIRECTED_REQUEST,
            tuple(letter * size for size in self._random.choice(BODY_SIZES)),
            self._random.choice(ENDS),
            self._random.choice('rrrrrrrrq'),
        )


class EventOrderTest(unittest.IsolatedAsyncioTestCase):
    """A caller gets one response, which is that of one attempt."""

    # Guards against a response that is made of those of several attempts, and
    # against one that seems complete although its attempt failed (MIXED).
    @parameterized.expand([(group,) for group in range(GROUPS)])
    async def test_orders(self, group: int) -> None:
        faults = await _faults(SEEDS[group::GROUPS])
        self.assertEqual(dict(faults), {})


async def _faults(seeds: range) -> list[tuple[int, str]]:
    """Return the seeds with a fault, and the fault."""
    found = []
    for seed in seeds:
        play = Play(seed)
        fault = await play.run()
        if fault:
            found.append((seed, fault))
    return found


def _candidate(harness: EdgeHarness, name: str) -> Candidate:
    return Candidate(harness.view(name), Distance.domain, 0)


def _always(answer: Any) -> Callable[..., Any]:
    return lambda *_: answer


def _is_missing(candidate: Candidate | None, _call: object) -> bool:
    return candidate is None


async def _turn(times: int) -> None:
    for _ in range(times):
        await asyncio.sleep(0)


def _main(first: int, last: int) -> None:
    began_at = time.monotonic()
    faults = asyncio.run(_faults(range(first, last + 1)))
    for seed, fault in faults:
        sys.stdout.write(f'seed {seed}: {fault}\n')
    seconds = time.monotonic() - began_at
    sys.stdout.write(
        f'{last + 1 - first} orders in {seconds:.1f} s, {len(faults)} faults\n'
    )


if __name__ == '__main__':
    _main(*map(int, sys.argv[1:]))

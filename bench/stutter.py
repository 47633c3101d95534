"""Targets that stutter: they write a response once more, whole or in part.

``python -m bench.stutter FILE`` runs the targets of a ``TargetPlan`` until
SIGTERM, and writes what they recorded. They listen on loopback only.
"""

import asyncio
import contextlib
import dataclasses
import enum
import functools
import itertools
import json
import pathlib
import random
import signal
import socket
import struct
import sys
import time
from http import HTTPStatus
from types import MappingProxyType
from typing import TypeVar, final

from bench.httpclient import headers_by_name
from bench.layout import HOST
from bench.stutterrecord import (
    Before,
    CallId,
    Cut,
    Digest,
    Ending,
    HealthAnswer,
    Kind,
    Run,
    Signature,
    StutterRecord,
    Timing,
)

Drawn = TypeVar('Drawn')

HEALTH_PATH = '/health'
SMALL_BODY = (200, 2_000)
"""Least and most bytes of a small body."""
LARGE_BODY = (60_000, 200_000)
"""Least and most bytes of a large body."""
CHUNK_BYTES = 8_000
"""Most bytes of a chunk, where a body is sent in chunks."""
WORK_SECONDS = (0.002, 0.02)
IDLE_SECONDS = (0.005, 0.3)
"""Seconds from a response to its copy on an idle connection."""
PACED_PIECE = 3_000
"""Bytes that are written at a time on a slow link."""
PACED_GAP = 0.005
"""Seconds between them; the link carries some 600 kB a second."""
PIECE_GAP = 0.005
"""Most seconds between a copy and the response that is due."""
SICK_SPAN = 2.0
"""Seconds for which a target is or is not healthy."""
SLOTS = 64
"""Requests that a target says that it runs at a time."""
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` that makes ``close`` reset the connection."""


@final
@dataclasses.dataclass(frozen=True)
class Shares:
    """How often targets do what; each is between 0 and 1."""

    doubled: float = 0.3
    """Of the responses, those that are written twice."""
    due: float = 0.4
    """Of the second responses, those where the next response is due."""
    idle: float = 0.2
    """Of the second responses, those on an idle connection."""
    cut_head: float = 0.6
    """Of the second responses, those cut within the head."""
    cut_body: float = 0.2
    first_cut: float = 0.05
    """Of the responses with a length or in chunks, those cut in the body.

    The connection stays open, and a second response follows."""
    large: float = 0.1
    """Of the bodies on routes other than downloads, those that are large."""
    large_download: float = 0.7
    chunked: float = 0.15
    unframed: float = 0.05
    """Of the bodies, those that end with the connection."""
    broken: float = 0.02
    """Of the responses, those cut in the body by closing the connection."""
    failed: float = 0.03
    unavailable: float = 0.02
    """Of the runs, those that answer 503 though they ran."""
    missing: float = 0.02
    late: float = 0.01
    """Of the runs, those that answer 504 at the end of their time."""
    reset: float = 0.02
    paced: float = 0.1
    """Of the runs, those that write at the pace of a slow link."""
    rejected: float = 0.02
    """Of the requests, those that do not run (503)."""
    sick: float = 0.1
    """Of the time, what a target is unhealthy for."""


@final
@dataclasses.dataclass(frozen=True)
class TargetPlan:
    """Targets of one process."""

    seed: int
    shares: Shares
    port_by_target: dict[str, int]
    output: str
    """File for what they record."""

    @classmethod
    def read(cls, path: pathlib.Path) -> 'TargetPlan':
        """Read a plan from a JSON file."""
        document = json.loads(path.read_text(encoding='utf-8'))
        return cls(**{**document, 'shares': Shares(**document['shares'])})


@final
class Outcome(enum.Enum):
    """What a request comes to; the value is the name of its share."""

    failed = 'failed'
    unavailable = 'unavailable'
    missing = 'missing'
    late = 'late'
    reset = 'reset'
    rejected = 'rejected'
    success = 'success'


STATUS_BY_OUTCOME = MappingProxyType(
    {
        Outcome.failed: HTTPStatus.INTERNAL_SERVER_ERROR,
        Outcome.unavailable: HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.missing: HTTPStatus.NOT_FOUND,
        Outcome.late: HTTPStatus.GATEWAY_TIMEOUT,
        Outcome.rejected: HTTPStatus.SERVICE_UNAVAILABLE,
        Outcome.success: HTTPStatus.OK,
    }
)


@final
class Framing(enum.Enum):
    """How the end of a body is told."""

    length = 'length'
    chunked = 'chunked'
    unframed = 'unframed'


class ConnectionEndedError(Exception):
    """The peer has closed the connection, or a write failed."""


@final
@dataclasses.dataclass(frozen=True)
class Request:
    """A request as it arrived."""

    path: str
    headers: dict[str, str]

    @property
    def kind(self) -> Kind:
        """Return the kind of the route, which the path begins with."""
        return Kind(self.path.split('/')[1])


@final
@dataclasses.dataclass(frozen=True)
class Response:
    """Octets of a response, and where its body begins."""

    octets: bytes
    body_at: int

    def cut(self, place: Cut, rng: random.Random) -> bytes:
        """Return the octets up to a random place of the head or body."""
        if place is Cut.head:
            return self.octets[: rng.randrange(1, self.body_at)]
        if place is Cut.body and self.body_at < len(self.octets):
            return self.octets[: rng.randrange(self.body_at, len(self.octets))]
        return self.octets


@final
@dataclasses.dataclass(frozen=True)
class Copy:
    """A second response that is still to be written."""

    octets: bytes
    run: Run | None
    """The run that it belongs to, none for a health check."""
    timing: Timing
    is_partial: bool
    is_paced: bool


@final
class Channel(asyncio.Protocol):
    """A connection of which one coroutine reads requests and writes bytes."""

    def __init__(self, target: 'StutteringTarget') -> None:
        """Serve the connection for ``target``."""
        self._target = target
        self._received = bytearray()
        self._changed = asyncio.Event()
        """Set when something arrived, was written or the connection ended."""
        self._is_full = False
        self._transport = asyncio.Transport()
        self._serving: asyncio.Task[None] | None = None

    @property
    def is_ended(self) -> bool:
        """Tell whether the connection has ended."""
        return self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving."""
        assert isinstance(transport, asyncio.Transport)  # noqa: S101
        self._transport = transport
        transport.set_write_buffer_limits(0)
        self._serving = asyncio.ensure_future(self._target.serve(self))

    def data_received(self, octets: bytes) -> None:
        """Keep the octets for ``read_request``."""
        self._received += octets
        self._changed.set()

    def connection_lost(self, error: Exception | None) -> None:
        """Wake the coroutine."""
        self._changed.set()

    def pause_writing(self) -> None:
        """Let ``write`` wait for the kernel."""
        self._is_full = True

    def resume_writing(self) -> None:
        """Let ``write`` go on."""
        self._is_full = False
        self._changed.set()

    async def read_request(self) -> Request:
        """Return the next request, or raise ``ConnectionEndedError``."""
        while b'\r\n\r\n' not in self._received:
            await self._wait()
        head, _, rest = bytes(self._received).partition(b'\r\n\r\n')
        start, *lines = head.decode('latin-1').split('\r\n')
        headers = headers_by_name(lines)
        body_size = int(headers.get('Content-Length', '0'))
        self._received = bytearray(rest)
        while len(self._received) < body_size:
            await self._wait()
        self._received = self._received[body_size:]
        return Request(start.split(' ')[1], headers)

    async def has_request_within(self, seconds: float) -> bool:
        """Tell whether some of the next request arrives within a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not self._received:
                    await self._wait()
        return bool(self._received)

    async def work(self, seconds: float) -> None:
        """Wait for a time, or raise ``ConnectionEndedError``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while True:
                    await self._wait()

    async def write(self, octets: bytes) -> None:
        """Write until the kernel has all, or raise ``ConnectionEndedError``."""
        self._check()
        self._transport.write(octets)
        while self._is_full:
            await self._wait()
        self._check()

    async def write_paced(self, octets: bytes) -> None:
        """Write as ``write`` does, at the pace of a slow link."""
        for start in range(0, len(octets), PACED_PIECE):
            await self.write(octets[start : start + PACED_PIECE])
            await self.work(PACED_GAP)

    def close(self) -> None:
        """Close the connection when all is written."""
        self._transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        self._check()
        self._transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self._transport.abort()

    async def _wait(self) -> None:
        self._check()
        self._changed.clear()
        await self._changed.wait()
        self._check()

    def _check(self) -> None:
        if self.is_ended:
            raise ConnectionEndedError


@final
class StutteringTarget:
    """A target on loopback; see ``Shares`` for what it does."""

    def __init__(
        self, name: str, seed: int, shares: Shares, record: StutterRecord
    ) -> None:
        """Record runs in ``record``; ``seed`` decides what it does."""
        self.name = name
        self._random = random.Random(f'{seed} {name}')
        self._shares = shares
        self._record = record
        self._numbers = itertools.count()
        self._connections = itertools.count()
        self._running = 0

    async def serve(self, channel: Channel) -> None:
        """Answer the requests on a connection until it ends."""
        self._record.connections += 1
        session = _Session(channel, next(self._connections))
        with contextlib.suppress(ConnectionEndedError):
            while True:
                await self._write_idle_copy(session)
                request = await channel.read_request()
                self._running += 1
                try:
                    await self._answer(session, request)
                finally:
                    self._running -= 1
        channel.close()

    async def _write_idle_copy(self, session: '_Session') -> None:
        if session.copy and session.copy.timing is Timing.idle:
            delay = self._random.uniform(*IDLE_SECONDS)
            if not await session.channel.has_request_within(delay):
                await session.write_copy()

    async def _answer(self, session: '_Session', request: Request) -> None:
        if request.path == HEALTH_PATH:
            await self._answer_health(session)
        elif request.headers.get('X-Expect-Instance', '') == self.name:
            outcome = self._draw_outcome()
            if outcome is Outcome.rejected:
                await self._refuse(session, request, 503)
            else:
                await self._run(session, request, outcome)
        else:
            await self._refuse(session, request, 421)

    async def _refuse(
        self, session: '_Session', request: Request, status: int
    ) -> None:
        await self._write_due_copy(session)
        await session.channel.write(_refusal(request, status))

    async def _answer_health(self, session: '_Session') -> None:
        status = 503 if self._is_sick() else 200
        before = await self._write_due_copy(session)
        self._record.health_answers.append(
            HealthAnswer(
                self.name,
                session.number,
                status,
                time.monotonic(),
                before,
            )
        )
        headers = [f'X-Instance-Id: {self.name}', *self._own_headers()]
        response = self._respond(status, headers, b'', Framing.length)
        await session.channel.write(response.octets)
        timing = self._draw_timing()
        if timing is not Timing.none:
            session.copy = self._copy_of(response, None, timing)

    async def _run(
        self, session: '_Session', request: Request, outcome: Outcome
    ) -> None:
        run = self._begin(session, request, outcome)
        channel = session.channel
        if outcome is Outcome.late:
            budget = int(request.headers.get('X-Deadline-Ms', '1000'))
            await channel.work(budget / 1000)
        else:
            await channel.work(self._random.uniform(*WORK_SECONDS))
        await self._write_due_copy(session)
        if outcome is Outcome.reset:
            channel.reset()
            return
        framing = self._draw_framing()
        body = _body_of(run)
        response = self._respond(
            run.status,
            [
                f'X-Request-Id: {run.call}',
                f'X-Response-Signature: {run.signature}',
                *self._own_headers(),
            ],
            body,
            framing,
        )
        run.ending = Ending.first
        if self._random.random() < self._shares.broken:
            await channel.write(response.cut(Cut.body, self._random))
            # Without a length, only a reset tells that the body was cut.
            self._random.choice(
                (channel.reset,)
                if framing is Framing.unframed
                else (channel.close, channel.reset)
            )()
            return
        if framing is Framing.unframed:
            await channel.write(response.octets)
            run.ending = Ending.whole
            channel.close()
            return
        await self._write_twice(session, run, response)

    async def _write_twice(
        self, session: '_Session', run: Run, response: Response
    ) -> None:
        run.timing = self._draw_timing()
        run.first_cut = self._random.random() < self._shares.first_cut
        if run.first_cut and run.timing in {Timing.none, Timing.due}:
            # No other request comes before the response has ended.
            run.timing = self._random.choice((Timing.at_once, Timing.idle))
        first = Cut.body if run.first_cut else Cut.none
        is_paced = self._random.random() < self._shares.paced
        await session.write(
            response.cut(first, self._random), is_paced=is_paced
        )
        if run.timing is Timing.none:
            run.ending = Ending.whole
            return
        run.ending = Ending.between
        session.copy = self._copy_of(response, run, run.timing, is_paced)
        if run.timing is Timing.at_once:
            await session.write_copy()

    async def _write_due_copy(self, session: '_Session') -> Before:
        """Write the pending copy; tell what the next response follows."""
        copy = session.copy
        if copy is None:
            return Before.nothing
        await session.write_copy()
        if self._random.random() < 0.5:
            await session.channel.work(self._random.uniform(0, PIECE_GAP))
        self._record.joined += copy.is_partial
        return Before.part if copy.is_partial else Before.whole

    def _copy_of(
        self,
        response: Response,
        run: Run | None,
        timing: Timing,
        is_paced: bool = False,
    ) -> Copy:
        cut = self._draw(
            {Cut.head: self._shares.cut_head, Cut.body: self._shares.cut_body},
            Cut.none,
        )
        octets = response.cut(cut, self._random)
        if run:
            run.cut = cut
        is_partial = len(octets) < len(response.octets)
        return Copy(octets, run, timing, is_partial, is_paced)

    def _begin(
        self, session: '_Session', request: Request, outcome: Outcome
    ) -> Run:
        status = int(STATUS_BY_OUTCOME.get(outcome, 0))
        signature = Signature(f'{self.name}.{next(self._numbers)}.{status}')
        is_download = request.kind is Kind.download
        shares = self._shares
        large = shares.large_download if is_download else shares.large
        is_large = self._random.random() < large
        length = self._random.randint(*(LARGE_BODY if is_large else SMALL_BODY))
        run = Run(
            CallId(request.headers.get('X-Request-Id', '')),
            self.name,
            session.number,
            request.kind,
            signature,
            status,
            Digest(length, 0),
            time.monotonic(),
        )
        run.digest = Digest.of(_body_of(run))
        self._record.runs.append(run)
        return run

    def _respond(
        self, status: int, headers: list[str], body: bytes, framing: Framing
    ) -> Response:
        """Return a response whose headers are in random order."""
        lines = [*headers, *_framing_lines(framing, body)]
        self._random.shuffle(lines)
        start = f'HTTP/1.1 {status} {HTTPStatus(status).phrase}'
        head = '\r\n'.join((start, *lines, '', '')).encode()
        return Response(head + _framed(framing, body), len(head))

    def _own_headers(self) -> list[str]:
        return [f'X-Server-Load: {self._running},0,{SLOTS}']

    def _is_sick(self) -> bool:
        span = int(time.monotonic() / SICK_SPAN)
        return random.Random(f'{self.name} {span}').random() < self._shares.sick

    def _draw_outcome(self) -> Outcome:
        share_by_outcome: dict[Outcome, float] = {
            outcome: getattr(self._shares, outcome.value)
            for outcome in Outcome
            if outcome is not Outcome.success
        }
        return self._draw(share_by_outcome, Outcome.success)

    def _draw_framing(self) -> Framing:
        return self._draw(
            {
                Framing.chunked: self._shares.chunked,
                Framing.unframed: self._shares.unframed,
            },
            Framing.length,
        )

    def _draw_timing(self) -> Timing:
        if self._random.random() >= self._shares.doubled:
            return Timing.none
        share_by_timing = {
            Timing.due: self._shares.due,
            Timing.idle: self._shares.idle,
        }
        return self._draw(share_by_timing, Timing.at_once)

    def _draw(self, share_by_result: dict[Drawn, float], rest: Drawn) -> Drawn:
        point = self._random.random()
        for drawn, share in share_by_result.items():
            point -= share
            if point < 0:
                return drawn
        return rest


@final
class _Session:
    """A connection, its number and the copy that is still to be written."""

    def __init__(self, channel: Channel, number: int) -> None:
        self.channel = channel
        self.number = number
        self.copy: Copy | None = None

    async def write(self, octets: bytes, *, is_paced: bool) -> None:
        """Write until the kernel has all, or raise ``ConnectionEndedError``."""
        if is_paced:
            await self.channel.write_paced(octets)
        else:
            await self.channel.write(octets)

    async def write_copy(self) -> None:
        """Write the pending copy, if there is one."""
        copy = self.copy
        if copy is None:
            return
        self.copy = None
        if copy.run and not self.channel.is_ended:
            copy.run.ending = Ending.second
        await self.write(copy.octets, is_paced=copy.is_paced)
        if copy.run:
            copy.run.ending = Ending.whole


def _body_of(run: Run) -> bytes:
    """Return a body that differs at each place and for each run."""
    length = run.digest.length
    count = length // len(run.signature) + 1
    text = ''.join(f'{run.signature}:{place};' for place in range(count))
    return text[:length].encode()


def _framing_lines(framing: Framing, body: bytes) -> list[str]:
    return {
        Framing.length: [f'Content-Length: {len(body)}'],
        Framing.chunked: ['Transfer-Encoding: chunked'],
        Framing.unframed: ['Connection: close'],
    }[framing]


def _framed(framing: Framing, body: bytes) -> bytes:
    if framing is not Framing.chunked:
        return body
    pieces = [
        body[start : start + CHUNK_BYTES]
        for start in range(0, len(body), CHUNK_BYTES)
    ]
    return b''.join(
        b'%x\r\n%b\r\n' % (len(piece), piece) for piece in (*pieces, b'')
    )


def _refusal(request: Request, status: int) -> bytes:
    """Return the response to a request that does not run."""
    call = request.headers.get('X-Request-Id', '')
    return (
        f'HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n'
        f'X-Request-Id: {call}\r\n'
        'X-Not-Executed: 1\r\n'
        'Content-Length: 0\r\n\r\n'
    ).encode()


async def run_targets(plan: TargetPlan) -> None:
    """Serve until SIGTERM, and write the record."""
    record = StutterRecord()
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    async with contextlib.AsyncExitStack() as stack:
        for name, port in plan.port_by_target.items():
            target = StutteringTarget(name, plan.seed, plan.shares, record)
            server = await loop.create_server(
                functools.partial(Channel, target), HOST, port
            )
            stack.callback(server.close)
        await stopped.wait()
    record.write(pathlib.Path(plan.output))


if __name__ == '__main__':
    asyncio.run(run_targets(TargetPlan.read(pathlib.Path(sys.argv[1]))))

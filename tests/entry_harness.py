"""An entry in the event loop of a test, with fake groups and raw targets."""

import asyncio
import contextlib
import dataclasses
import hashlib
import itertools
import random
import socket
from types import TracebackType
from typing import Any, Self, final

from returns.result import Failure, Result, Success
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from tests.test_target import SPEC
from turmericmast.clock import HybridClock, SystemClock
from turmericmast.entry.entry import Entry
from turmericmast.events import EventLog
from turmericmast.exceptions import TurmericmastError, WireError
from turmericmast.ids import (
    DomainId,
    Epoch,
    Incarnation,
    Index,
    InstanceId,
    RegionId,
    Seconds,
    ServiceId,
    TargetId,
)
from turmericmast.ledger.commands import Settle
from turmericmast.ledger.ledger import Ledger
from turmericmast.metrics import Metrics
from turmericmast.region import commands
from turmericmast.region.records import Placement, Suspicion
from turmericmast.region.region import Region
from turmericmast.web.announcementhandler import AnnouncementHandler
from turmericmast.web.curl import CurlClient
from turmericmast.web.entrycontext import EntryContext, GroupClients
from turmericmast.web.frontend import Frontend
from turmericmast.wire.client import REQUEST_TIMEOUT, Group
from turmericmast.wire.requests import Changed, ChangeLedger, ChangeRegion

REGION = RegionId('tirol')
DOMAIN = DomainId('tirol-a')
INSTANCE = InstanceId('e1')
BODY_TIMEOUT = 0.4
"""Seconds that the front end waits for a request body."""
BIG = bytes(range(256)) * 8192
"""A body of 2 MiB."""


@final
class FakeGroup(Group):
    """A group client that applies commands to real aggregates at once."""

    def __init__(self) -> None:
        """Start with an empty region and an empty ledger."""
        self.region = Region(REGION, frozenset((REGION,)), REGION)
        self.ledger = Ledger()
        self.is_silent = False
        """Whether every request fails for want of an answer."""
        self.settle_seconds = float(0)
        """Seconds that the ledger takes to store an answer."""
        self._index = itertools.count(1)

    async def request(
        self,
        body: object,
        deadline: Seconds,
        timeout: float = REQUEST_TIMEOUT,
    ) -> Result[Any, TurmericmastError]:
        """Apply a command at once; the deadline is not used."""
        return await self.request_once(body, timeout)

    async def request_once(
        self,
        body: object,
        timeout: float,
    ) -> Result[Any, TurmericmastError]:
        """Apply a command, or fail while the group is silent."""
        if isinstance(body, ChangeLedger) and self.settle_seconds:
            if isinstance(body.command, Settle):
                await asyncio.sleep(self.settle_seconds)
        if self.is_silent:
            return Failure(WireError('no answer', step='ask group'))
        if isinstance(body, ChangeLedger):
            return Success(self.ledger.apply(body.command))
        if isinstance(body, ChangeRegion):
            return self.apply(body.command).map(_to_changed_message)
        raise TypeError(body)

    def apply(self, command: Any) -> Result[Any, TurmericmastError]:
        """Apply a command to the region."""
        return self.region.apply(Index(next(self._index)), command)


def _to_changed_message(outcome: Any) -> Changed:
    return Changed(
        outcome if isinstance(outcome, Placement) else None,
        outcome if isinstance(outcome, Suspicion) else None,
    )


@final
class RawTarget:
    """A target that writes raw octets, so that it can violate HTTP."""

    def __init__(self, name: str) -> None:
        """Bind a free port; serve nothing yet."""
        self.name = name
        self.runs: list[tuple[str, str, bytes]] = []
        """Method, path and body of each request received."""
        self.attempts: list[str] = []
        """Ids of the attempts that brought them, empty for none."""
        self.cancelled = 0
        """Slow requests whose connection the entry closed."""
        self.crashes = True
        """Whether requests to ``/crash`` close the connection unanswered."""
        self.pause = ''
        """Seconds for which a rejection asks for a pause; empty for none."""
        self.echoes = True
        """Whether responses bear the id of the attempt."""
        self.always = ''
        """Kind of response to every request, if not that of its path."""
        self.repeats = False
        """Whether each connection starts a response with the one before."""
        bound = bind_unused_port()
        self._sock = bound[0]
        self.port = bound[1]
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept connections on the bound port."""
        self._server = await asyncio.start_server(
            self._serve,
            sock=self._sock,
        )

    def stop(self) -> None:
        """Close the listening socket, so that new connections are refused."""
        if self._server:
            self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.closing(writer):
            with contextlib.suppress(
                ConnectionError,
                asyncio.IncompleteReadError,
            ):
                earlier = b''
                keeps_open = True
                while keeps_open:
                    answer, keeps_open = await self._serve_one(reader, writer)
                    writer.write(earlier * self.repeats + answer)
                    await writer.drain()
                    earlier = answer

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> tuple[bytes, bool]:
        """Return the answer to one request, and whether to go on."""
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        lines = head.split('\r\n')
        method, path, _ = lines[0].split(' ')
        headers = {
            name.lower(): text
            for name, text in map(_split_header, filter(None, lines[1:]))
        }
        body = await _read_body(reader, headers)
        self.runs.append((method, path, body))
        self.attempts.append(headers.get('turmericmast-call', ''))
        return await self._answer(method, path, headers, body, reader)

    async def _answer(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
    ) -> tuple[bytes, bool]:
        kind = self.always or path.strip('/').partition('?')[0]
        if kind == 'crash' and self.crashes:
            return b'', False
        if kind == 'slow':
            await self._hold_open(reader)
            return b'', False
        response = self._response(kind, method, headers, body)
        is_cut = kind in {'cut', 'cut-big', 'cut-weak', 'undelimited'}
        return response, not is_cut

    async def _hold_open(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(1), 3)
            self.cancelled += 1

    def _response(
        self,
        kind: str,
        method: str,
        headers: dict[str, str],
        body: bytes,
    ) -> bytes:
        digest = hashlib.sha256(body).hexdigest()
        own = self._own_headers(headers)
        if kind == 'shed':
            pause = f'Retry-After: {self.pause}\r\n' if self.pause else ''
            return _head(503, 0, f'{own}Turmericmast-Ran: no\r\n{pause}')
        if kind == 'busy':
            return _head(503, 4, own) + b'busy'
        if kind == 'empty':
            return f'HTTP/1.1 204 No Content\r\n{own}\r\n'.encode()
        if kind == 'chunked':
            start = (
                f'HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n'
            )
            return start.encode() + b'5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n'
        if kind == 'cut':
            return _head(200, 100, own) + b'only this'
        if kind == 'undelimited':
            return f'HTTP/1.1 200 OK\r\n{own}\r\nsome'.encode()
        if kind in {'big', 'cut-big', 'cut-weak'}:
            return self._big(kind, headers)
        if method == 'HEAD':
            return _head(200, 11, own)
        answer = f'{method} {digest}'.encode()
        status = 201 if method == 'POST' else 200
        return _head(status, len(answer), own) + answer

    def _own_headers(self, headers: dict[str, str]) -> str:
        attempt = headers.get('turmericmast-call', '')
        echo = f'Turmericmast-Call: {attempt}\r\n' if self.echoes else ''
        return f'X-Target: {self.name}\r\n{echo}'

    def _big(self, kind: str, headers: dict[str, str]) -> bytes:
        tag = 'W/"v1"' if kind == 'cut-weak' else '"v1"'
        extra = f'{self._own_headers(headers)}ETag: {tag}\r\n'
        if 'range' in headers and headers.get('if-range') == '"v1"':
            start = int(headers['range'].removeprefix('bytes=').rstrip('-'))
            where = f'bytes {start}-{len(BIG) - 1}/{len(BIG)}'
            extra = f'{extra}Content-Range: {where}\r\n'
            return _head(206, len(BIG) - start, extra) + BIG[start:]
        sent = BIG if kind == 'big' else BIG[: len(BIG) // 2]
        return _head(200, len(BIG), extra) + sent


def _head(status: int, length: int, extra: str) -> bytes:
    return (
        f'HTTP/1.1 {status} Reason\r\n{extra}Content-Length: {length}\r\n\r\n'
    ).encode()


def _split_header(line: str) -> tuple[str, str]:
    name, _, text = line.partition(': ')
    return name, text


async def _read_body(
    reader: asyncio.StreamReader,
    headers: dict[str, str],
) -> bytes:
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).strip(), 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', '0')))


@final
class EntryHarness:
    """An entry that owns raw targets, as an async context manager."""

    def __init__(self, targets: int = 2, document: str = '') -> None:
        """Create ``targets`` raw targets of the service ``stock``."""
        self._document = document
        self.group = FakeGroup()
        self.targets = [RawTarget(f't{number}') for number in range(targets)]
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.entry = Entry(REGION, DOMAIN, INSTANCE, random.Random(1))
        self.address = ''
        self._stack = contextlib.ExitStack()

    async def __aenter__(self) -> Self:
        """Start the targets and the front end, and grant the lease."""
        for target in self.targets:
            await target.start()
            self._stack.callback(target.stop)
        sock, port = bind_unused_port()
        self.address = f'127.0.0.1:{port}'
        self.group.apply(
            commands.OpenSession(
                INSTANCE, Incarnation('x'), DOMAIN, self.address
            ),
        )
        if self._document:
            self.adopt(self._document)
        for target in self.targets:
            self.group.apply(commands.PlaceTarget(self._spec(target)))
        self.renew()
        self._serve(sock)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close connections and stop the front end and the targets."""
        await self.server.close_all_connections()
        self._stack.close()
        await asyncio.sleep(0)

    def renew(self, *, ago: float = 0) -> None:
        """Grant a lease of 3 s for a renewal sent ``ago`` seconds before."""
        now = self.clock.now()
        self.entry.renew(
            Epoch(1),
            self.group.region.build_feed(self.entry.view.index),
            Seconds(now - ago),
            3,
            now,
        )

    def adopt(self, document: str) -> None:
        """Propose a fleet document and renew, so that the entry applies it."""
        current = self.group.region.fleet.current
        self.group.apply(
            commands.ProposeFleet(
                commands.ChangeId(f'c{current.version}'),
                current.version,
                current.digest,
                document,
            ),
        ).unwrap()
        self.renew()

    def _spec(self, target: RawTarget) -> Any:
        return dataclasses.replace(
            SPEC,
            target=TargetId(target.name),
            address=f'127.0.0.1:{target.port}',
            cold_slots=4,
            service=ServiceId('stock'),
        )

    def _serve(self, sock: socket.socket) -> None:
        events = EventLog(INSTANCE, None, HybridClock(self.clock))
        clients = GroupClients(self.group, {REGION: self.group}, REGION)
        self.context = EntryContext(
            self.entry,
            self._stack.enter_context(CurlClient(metrics=self.metrics)),
            clients,
            self.clock,
            self.metrics,
            events,
        )
        self.frontend = Frontend(
            self.context, AnnouncementHandler(self.context)
        )
        self.server = HTTPServer(
            self.frontend,
            max_body_size=2**40,
            body_timeout=BODY_TIMEOUT,
        )
        self.server.add_socket(sock)
        self._stack.callback(self.server.stop)

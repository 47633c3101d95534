"""An emulated target that logs each request it runs.

It writes a line of JSON for each request that starts, ends, is refused or is
cancelled, and for each change of its own state. The query of a request says
how long it takes (``ms``), the size of the answer (``bytes``), whether all
targets answer alike (``same``) and whether the target crashes (``crash``).
Requests below ``/-/`` change its behaviour: pause, slow, cold, fail.
"""

import asyncio
import collections
import hashlib
import json
import os
import secrets
import signal
import time
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Any, final

from absl import app, flags

from bench.announcer import Announcer
from bench.slowdowns import SlowdownProfile, SlowdownSchedule

NAME = flags.DEFINE_string('name', 't1', 'Id of the target.')
SERVICE = flags.DEFINE_string('service', 'stock', 'Service it belongs to.')
REGION = flags.DEFINE_string('region', 'tirol', 'Region it runs in.')
DOMAIN = flags.DEFINE_string('domain', 'tirol-a', 'Failure domain it runs in.')
PORT = flags.DEFINE_integer('port', 9001, 'Port to listen on.')
SLOTS = flags.DEFINE_integer('slots', 4, 'Requests it runs at a time.')
COLD_SLOTS = flags.DEFINE_integer(
    'cold_slots', 1, 'Requests it runs at a time while cold.'
)
WARM_AFTER = flags.DEFINE_float('warm_after', 0.5, 'Seconds until it is warm.')
ENTRIES = flags.DEFINE_list('entries', [], 'Entries to announce to.')
LOG = flags.DEFINE_string('log', '', 'File for event lines.')
EPOCH = flags.DEFINE_float(
    'epoch', 0, 'Wall clock time, in seconds, at which slowdowns begin.'
)
SLOWDOWN_SEED = flags.DEFINE_string('weather', '', 'Seed of slowdowns.')
QUEUES = flags.DEFINE_bool(
    'queues', False, 'Queue requests over the slots instead of refusing them.'
)
QUIET = flags.DEFINE_bool('quiet', False, 'Write no event lines for requests.')

DRAIN_TIMEOUT = 30.0
"""Seconds that running requests have to end when the target stops."""
POLL_INTERVAL = 0.02
"""Seconds between two checks whether they have ended."""
COLD_FACTOR = 10
"""Factor by which a request takes longer while the target is cold."""


@final
class TargetEmulator:
    """State and behaviour of the emulated target."""

    def __init__(self) -> None:
        """Begin in the cold state and open the event log."""
        self.incarnation = secrets.token_hex(4)
        self.state = 'cold'
        self.is_cold = True
        """The real state; ``state`` is what the target announces."""
        self.in_flight = 0
        self.paused_until = float(0)
        self.factor = float(1)
        self.is_failing = False
        self.slowdowns = (
            SlowdownSchedule(SLOWDOWN_SEED.value, SlowdownProfile())
            if SLOWDOWN_SEED.value
            else None
        )
        self.waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._log = os.open(
            LOG.value or os.devnull,
            os.O_WRONLY | os.O_APPEND | os.O_CREAT,
        )

    @property
    def limit(self) -> int:
        """Return the number of requests that it may run at a time now."""
        return COLD_SLOTS.value if self.is_cold else SLOTS.value

    def write(self, event: str, **fields: Any) -> None:
        """Write an event line unbuffered, so that it survives a SIGKILL."""
        line = {
            'at': time.time(),
            'event': event,
            'target': NAME.value,
            'domain': DOMAIN.value,
            'region': REGION.value,
            'incarnation': self.incarnation,
            'in_flight': self.in_flight,
            'limit': self.limit,
            **fields,
        }
        os.write(self._log, f'{json.dumps(line)}\n'.encode())

    def document(self) -> dict[str, object]:
        """Return the announcement of the target."""
        return {
            'target': NAME.value,
            'service': SERVICE.value,
            'address': f'127.0.0.1:{PORT.value}',
            'region': REGION.value,
            'domain': DOMAIN.value,
            'slots': SLOTS.value,
            'cold_slots': COLD_SLOTS.value,
            'incarnation': self.incarnation,
            'state': self.state,
            'in_flight': self.in_flight,
        }

    def warm_up(self) -> None:
        """Become warm, and announce the ready state from now on."""
        self.is_cold = False
        self.state = 'ready'
        self.write('warm')

    def apply_control_request(self, path: str, query: dict[str, str]) -> None:
        """Apply a request below ``/-/`` that changes the behaviour.

        The change lasts for ``ms`` milliseconds.
        """
        seconds = float(query.get('ms', '0')) / 1000
        loop = asyncio.get_running_loop()
        if path == '/-/pause':
            self.paused_until = time.monotonic() + seconds
        elif path == '/-/slow':
            self.factor = float(query['factor'])
            loop.call_later(seconds, setattr, self, 'factor', float(1))
        elif path == '/-/cold':
            # The announced state does not change, so owners get no warning.
            self.is_cold = True
            loop.call_later(seconds, setattr, self, 'is_cold', False)
        elif path == '/-/fail':
            self.is_failing = True
            loop.call_later(seconds, setattr, self, 'is_failing', False)
        self.write('changed', to=path)

    def response_time(self, work: float) -> float:
        """Return how long a request of ``work`` seconds of work takes now."""
        if self.slowdowns:
            now = time.time() - EPOCH.value
            return self.slowdowns.finish_time(now, work) - now
        cold = COLD_FACTOR if self.is_cold else 1
        pause = max(self.paused_until - time.monotonic(), 0)
        return work * self.factor * cold + pause


@final
class CallerConnection(asyncio.Protocol):
    """A connection of a caller; it runs one request at a time."""

    def __init__(self, emulator: TargetEmulator) -> None:
        """Serve requests with the behaviour of ``emulator``."""
        self._emulator = emulator
        self._buffer = b''
        self._transport: asyncio.Transport | None = None
        self._call_header = ''
        """Header line that repeats the id of the newest attempt."""
        self._request: dict[str, Any] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport for answers."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the running request, as its caller has gone."""
        if self._timer and self._request:
            self._timer.cancel()
            self._end_request('cancelled')

    def data_received(self, octets: bytes) -> None:
        """Buffer octets, and start a request when it is complete."""
        self._buffer += octets
        head, separator, rest = self._buffer.partition(b'\r\n\r\n')
        if not separator or self._request:
            return
        lines = head.decode('latin-1').split('\r\n')
        headers = {
            name.lower(): text
            for name, _, text in map(_split_header, lines[1:])
        }
        length = int(headers.get('content-length', '0'))
        if len(rest) >= length:
            self._buffer = rest[length:]
            method, target, _ = lines[0].split(' ')
            attempt = headers.get('turmericmast-call', '')
            self._call_header = f'Turmericmast-Call: {attempt}\r\n'
            self._start_request(method, target, headers)

    def _start_request(
        self, method: str, target: str, headers: dict[str, str]
    ) -> None:
        emulator = self._emulator
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        if path.startswith('/-/'):
            emulator.apply_control_request(path, query)
            self._send_response(200, '', b'')
            return
        if emulator.is_failing:
            self._send_response(500, '', b'failing')
            return
        if emulator.in_flight >= SLOTS.value and QUEUES.value:
            # Callers do not pipeline: nothing else comes on this connection
            # before the answer.
            emulator.waiting.append(
                lambda: self._start_request(method, target, headers)
            )
            return
        if emulator.in_flight >= SLOTS.value:
            emulator.write('shed', call=headers.get('x-call', ''))
            self._send_response(503, 'Turmericmast-Ran: no\r\n', b'busy')
            return
        emulator.in_flight += 1
        self._request = {
            'call': headers.get('x-call', ''),
            'key': headers.get('idempotency-key', ''),
            'path': path,
        }
        if not QUIET.value:
            emulator.write('start', **self._request)
        if 'crash' in query:
            os.kill(os.getpid(), signal.SIGKILL)
        seconds = emulator.response_time(float(query.get('ms', '5')) / 1000)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            seconds, self._finish_request, query, headers
        )

    def _finish_request(
        self, query: dict[str, str], headers: dict[str, str]
    ) -> None:
        if self._request is None:
            return
        call = self._request['call']
        key = self._request['key']
        pattern = f'{NAME.value}/{key}/{call}/'.encode()
        size = int(query.get('bytes', '40'))
        if 'same' in query:
            pattern = b'the same at every target/'
        body = (pattern * (size // len(pattern) + 1))[:size]
        tag = hashlib.sha256(body).hexdigest()
        self._end_request('end')
        extra_headers = (
            f'X-Target: {NAME.value}\r\nX-Call: {call}\r\n'
            f'X-Digest: {tag}\r\nETag: "{tag}"\r\n'
        )
        start = _range_start(headers, tag)
        if start is None:
            self._send_response(200, extra_headers, body)
        else:
            content_range = f'bytes {start}-{size - 1}/{size}'
            extra_headers = f'{extra_headers}Content-Range: {content_range}\r\n'
            self._send_response(206, extra_headers, body[start:])

    def _end_request(self, event: str) -> None:
        self._emulator.in_flight -= 1
        if not QUIET.value and self._request:
            self._emulator.write(event, **self._request)
        self._request = None
        if self._emulator.waiting:
            self._emulator.waiting.popleft()()

    def _send_response(
        self, status: int, extra_headers: str, body: bytes
    ) -> None:
        if self._transport:
            head = (
                f'HTTP/1.1 {status} X\r\n{extra_headers}{self._call_header}'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            self._transport.write(head.encode() + body)


def _split_header(line: str) -> tuple[str, str, str]:
    return line.partition(': ')


def _range_start(headers: dict[str, str], tag: str) -> int | None:
    if headers.get('if-range') != f'"{tag}"' or 'range' not in headers:
        return None
    return int(headers['range'].removeprefix('bytes=').partition('-')[0])


async def _main() -> None:
    emulator = TargetEmulator()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: CallerConnection(emulator),
        '127.0.0.1',
        PORT.value,
    )
    announcer = Announcer(ENTRIES.value, emulator.document)
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    emulator.write('started')
    announcing = asyncio.ensure_future(announcer.run())
    loop.call_later(WARM_AFTER.value, emulator.warm_up)
    await stop.wait()
    emulator.state = 'leaving'
    announcing.cancel()
    await announcer.announce_to_owner()
    emulator.write('leaving')
    for _ in range(int(DRAIN_TIMEOUT / POLL_INTERVAL)):
        if not emulator.in_flight:
            break
        await asyncio.sleep(POLL_INTERVAL)
    await announcer.announce_to_owner()
    emulator.write('stopped')
    server.close()


def _run(arguments: Sequence[str]) -> None:
    asyncio.run(_main())


if __name__ == '__main__':
    app.run(_run)

"""Fault soak: real processes, harmed from outside, promises checked.

``bin/soak --seeds=1-50`` plays one seed after the other; each prints the
promises that were not kept. Seeds that ever failed stand in ``SEEDS_KEPT``.
"""

import asyncio
import contextlib
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any, TypeAlias, final

import pycurl
from absl import app, flags
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from bench.chaosproxy import ChaosProxy, Harm
from bench.machines import NO_ANSWER, ZONES, Machines, Upstream
from bench.soakrecord import Ran, Read, Record, Sent

SEEDS = flags.DEFINE_string('seeds', '1-3', 'Seeds to play: FIRST-LAST.')
SECONDS = flags.DEFINE_float('seconds', 12.0, 'Length of the harmful part.')
KEEP = flags.DEFINE_string('keep', '', 'Folder for the lines of bad seeds.')

SEEDS_KEPT: tuple[tuple[int, str], ...] = ()
"""Seeds that ever failed, with a line on the cause."""

CALLERS = 8
PAUSE = 0.03
"""Seconds between two requests of a caller, on average."""
TIMEOUT = 0.9
"""Seconds that callers give a request."""
GIVE_UP = 1.6
"""Seconds after which a caller stops to wait: past every promise."""
FAULT_PAUSE = 0.8
"""Seconds between two faults, on average; they last longer and overlap."""
FREEZE = 2.0
RESTART = 0.5
CALM = 4.0
"""Seconds without faults at the end; the last of them count as recovery."""
SETTLE = 3.0
GRACE = 3.5
"""Seconds in which a process that is told to stop ends."""
EVACUATION = 3.0
START_TIMEOUT = 20.0
BEAT = 0.5
READ_PAUSE = 0.3

Fault: TypeAlias = Callable[[], Awaitable[None]]


def route_document(version: int, base: int) -> dict[str, Any]:
    """Return routes for look-ups and orders, told apart by their version."""
    route = {
        'host': 'shop.example',
        'timeout_s': TIMEOUT,
        'target_latency_s': 0.25,
        'priority': 1,
        'service': 'stock',
        'max_attempts': 2,
        'allowed_regions': [],
    }
    return {
        'version': f'{version:08x}',
        'base_version': f'{base:08x}',
        'routes': {
            'look': {**route, 'path_prefix': '/look/', 'kind': 'safe'},
            'order': {**route, 'path_prefix': '/order/', 'kind': 'unsafe'},
        },
        'services': {
            'stock': {
                'health_path': '/health',
                'max_connections': 280,
                'protocol': 'h1',
                'tls': False,
                'warmup_s': 3.0,
                'warmup_per_s': 13.0,
            },
        },
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }


@final
class Soak:
    """One seed: machines, targets behind proxies, callers and an operator."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        """Draw everything that is random from ``seed``."""
        self.record = Record()
        self.machines = Machines(folder)
        self._random = random.Random(seed)
        self._client = AsyncHTTPClient(force_instance=True, max_clients=64)
        self._ends_at = float(0)
        self._sent = 0
        self._version = 0
        self._busy: set[str] = set()
        """Processes that a fault has in its hands."""
        self._upstreams: list[Upstream] = []
        self._proxies: list[ChaosProxy] = []

    async def run(self, seconds: float) -> dict[str, list[str]]:
        """Play, and return what was not kept, by promise."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._client.close)
            stack.enter_context(self.machines)
            for zone, ip in self.machines.ip_by_zone.items():
                await self._add_target(stack, zone, ip)
            beats = asyncio.ensure_future(self._beat())
            stack.callback(beats.cancel)
            await self.machines.until(self._is_set_up, START_TIMEOUT)
            await self._harm(seconds)
            self._collect()
        return self.record.violations()

    async def _add_target(
        self,
        stack: contextlib.AsyncExitStack,
        zone: str,
        ip: str,
    ) -> None:
        ports = self.machines.ports
        address, behind = f'{ip}:{ports[6]}', f'{ip}:{ports[7]}'
        upstream = Upstream(f'u-{zone}', zone, address, behind)
        self._upstreams.append(stack.enter_context(upstream))
        proxy = await stack.enter_async_context(ChaosProxy(address, behind))
        self._proxies.append(proxy)

    async def _harm(self, seconds: float) -> None:
        now = time.monotonic()
        faults_end = now + seconds
        self._ends_at = faults_end + GRACE + CALM
        self.record.calm_since = self._ends_at - CALM + SETTLE
        people = [self._call_often() for _ in range(CALLERS)]
        running = [
            asyncio.ensure_future(one) for one in (*people, self._operate())
        ]
        faults: list[asyncio.Future[None]] = []
        while time.monotonic() < faults_end:
            faults.append(asyncio.ensure_future(self._draw_fault()))
            await asyncio.sleep(self._random.uniform(0, 2 * FAULT_PAUSE))
        await asyncio.gather(*faults)
        await asyncio.gather(*running)
        await self._read()

    def _draw_fault(self) -> Awaitable[None]:
        faults: list[Fault] = [
            self._freeze,
            self._kill,
            self._stop,
            self._wipe,
            self._harm_links,
            self._harm_links,
            self._evacuate,
        ]
        return self._random.choice(faults)()

    async def _freeze(self) -> None:
        with self._hold(self._random.choice(('core', 'edge'))) as held:
            if held:
                self.machines.signal(*held, signal.SIGSTOP)
                await asyncio.sleep(self._random.uniform(0, FREEZE))
                self.machines.signal(*held, signal.SIGCONT)

    async def _kill(self) -> None:
        with self._hold(self._random.choice(('core', 'edge'))) as held:
            if held:
                await self._end(*held, signal.SIGKILL)
                await asyncio.sleep(self._random.uniform(0, RESTART))
                self.machines.start(*held)

    async def _stop(self) -> None:
        with self._hold(self._random.choice(('core', 'edge'))) as held:
            if held:
                await self._end(*held, signal.SIGTERM)
                self.machines.start(*held)

    async def _wipe(self) -> None:
        with self._hold('core') as held:
            if held:
                await self._end(*held, signal.SIGKILL)
                self.machines.wipe(*held)
                self.machines.start(*held)
                # Until it was caught up, no other disk may be lost.
                await asyncio.sleep(SETTLE)

    async def _harm_links(self) -> None:
        proxy = self._random.choice(self._proxies)
        proxy.harm = self._random.choice(list(Harm))
        await asyncio.sleep(self._random.uniform(0, FREEZE))
        proxy.harm = Harm.none

    async def _evacuate(self) -> None:
        zone = self._random.choice(list(ZONES))
        if not await self._order('POST', f'/-/evacuations/{zone}'):
            return
        since = time.monotonic()
        await asyncio.sleep(self._random.uniform(0, 2 * EVACUATION))
        until = time.monotonic()
        self.record.emptied.append((zone, since, until))
        await self._order('DELETE', f'/-/evacuations/{zone}')

    @contextlib.contextmanager
    def _hold(self, role: str) -> Iterator[tuple[str, str] | None]:
        """Choose a process that no other fault harms; one core at a time."""
        zone = self._random.choice(list(ZONES))
        name = role if role == 'core' else f'{role}-{zone}'
        if name in self._busy:
            yield None
            return
        self._busy.add(name)
        since = time.monotonic()
        yield role, zone
        self._busy.discard(name)
        if role == 'edge':
            self.record.faults.append((zone, since, time.monotonic()))

    async def _end(self, role: str, zone: str, number: signal.Signals) -> None:
        self.machines.signal(role, zone, number)
        deadline = time.monotonic() + GRACE
        while not self.machines.reap(role, zone):
            if time.monotonic() > deadline:
                self.machines.signal(role, zone, signal.SIGKILL)
            await asyncio.sleep(PAUSE)

    async def _call_often(self) -> None:
        while time.monotonic() < self._ends_at:
            await self._call()
            await asyncio.sleep(self._random.uniform(0, 2 * PAUSE))

    async def _call(self) -> None:
        self._sent += 1
        is_order = self._random.random() < 0.4
        request = f'r-{self._sent}'
        path = f'/{"order" if is_order else "look"}/{request}'
        zone = self._random.choice(list(ZONES))
        began_at = time.monotonic()
        answer = await self._fetch(zone, path, request, is_order=is_order)
        self.record.sent.append(
            Sent(
                request,
                path,
                is_order,
                zone,
                began_at,
                time.monotonic(),
                TIMEOUT,
                answer.code,
                (answer.body or b'').decode() if answer.buffer else '',
                answer.headers.get('X-Request-Id', ''),
                'X-Response-Signature' in answer.headers,
            ),
        )

    async def _fetch(
        self,
        zone: str,
        path: str,
        request: str,
        *,
        is_order: bool,
    ) -> HTTPResponse:
        machines = self.machines
        asked = HTTPRequest(
            f'http://{machines.ip_by_zone[zone]}:{machines.ports[0]}{path}',
            method='POST' if is_order else 'GET',
            body='bales' if is_order else None,
            headers={
                'Host': 'shop.example',
                'X-Request-Id': request,
                'X-Deadline-Ms': str(int(TIMEOUT * 1000)),
            },
            request_timeout=GIVE_UP,
            prepare_curl_callback=_use_new_connection if is_order else None,
        )
        try:
            return await self._client.fetch(asked, raise_error=False)
        except (OSError, HTTPClientError) as error:
            return HTTPResponse(asked, NO_ANSWER, reason=str(error))

    async def _operate(self) -> None:
        while time.monotonic() < self._ends_at - CALM:
            await self._read()
            version = self._version + self._random.randint(1, 3)
            document = route_document(version, self._version)
            # Sent until it is answered: only then the next one builds on it.
            while not await self._order('PUT', '/-/config', document):
                await asyncio.sleep(READ_PAUSE)
            self._version = version
            self.record.acked.append((time.monotonic(), version))
            await asyncio.sleep(self._random.uniform(0, 4 * READ_PAUSE))

    async def _order(
        self,
        method: str,
        path: str,
        document: Any = None,
    ) -> bool:
        zone = self._random.choice(list(ZONES))
        answer = await self.machines.order(zone, method, path, document)
        return answer.code == 200

    async def _read(self) -> None:
        for zone in ZONES:
            sent_at = time.monotonic()
            answer = await self.machines.order(zone, 'GET', '/-/config')
            if answer.code == 200:
                text = answer.body.decode()
                version = text.partition('"version": "')[2][:8]
                self.record.reads.append(Read(sent_at, int(version, 16)))

    async def _beat(self) -> None:
        while True:
            for upstream in self._upstreams:
                await self._order(
                    'PUT',
                    f'/-/instances/{upstream.name}',
                    upstream.report(),
                )
            await asyncio.sleep(BEAT)

    async def _is_set_up(self) -> bool:
        document = route_document(1, 0)
        if not await self._order('PUT', '/-/config', document):
            return False
        self._version = 1
        answers = [
            await self.machines.call(zone, '/look/set-up', 'r-0')
            for zone in ZONES
        ]
        return all(answer.code == 200 for answer in answers)

    def _collect(self) -> None:
        self.record.ran = [
            Ran(path, upstream.zone, at)
            for upstream in self._upstreams
            for path, at in zip(upstream.paths, upstream.times, strict=True)
        ]


def _use_new_connection(handle: Any) -> None:
    """Keep curl from sending an order twice on a dead connection."""
    handle.setopt(pycurl.FRESH_CONNECT, 1)


def play(seed: int, seconds: float, keep: str = '') -> dict[str, list[str]]:
    """Play one seed; return the promises that were not kept, with cases."""
    AsyncHTTPClient.configure('tornado.curl_httpclient.CurlAsyncHTTPClient')
    with tempfile.TemporaryDirectory() as name:
        soak, found = asyncio.run(_run(seed, pathlib.Path(name), seconds))
        bad = {promise: cases for promise, cases in found.items() if cases}
        if bad and keep:
            kept = pathlib.Path(keep) / f'seed-{seed}'
            kept.mkdir(parents=True, exist_ok=True)
            for log in soak.machines.logs():
                (kept / log.name).write_bytes(log.read_bytes())
    codes = [one.status for one in soak.record.sent]
    counts = {code: codes.count(code) for code in sorted(set(codes))}
    sys.stdout.write(f'seed {seed}: {counts} {bad or "all promises kept"}\n')
    return bad


async def _run(
    seed: int,
    folder: pathlib.Path,
    seconds: float,
) -> tuple[Soak, dict[str, list[str]]]:
    # The soak and its client belong to the loop that runs here.
    soak = Soak(seed, folder)
    return soak, await soak.run(seconds)


def _main(_arguments: Sequence[str]) -> int:
    first, _, last = SEEDS.value.partition('-')
    seeds = range(int(first), int(last or first) + 1)
    bad = [seed for seed in seeds if play(seed, SECONDS.value, KEEP.value)]
    sys.stdout.write(f'{len(seeds)} seeds, bad: {bad or "none"}\n')
    return int(bool(bad))


if __name__ == '__main__':
    app.run(_main)

"""Soak test: injects random faults into real processes and checks guarantees.

``bin/soak --seeds=1-50`` runs one seed after the other and prints for each
which guarantees were violated. ``REGRESSION_SEEDS`` lists seeds that failed
before.
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

from bench.builds import differing_states, extract_build
from bench.chaosproxy import ChaosProxy, ConnectionFault
from bench.machines import (
    NO_ANSWER_STATUS,
    REGION_BY_ZONE,
    ROOT,
    LocalCluster,
    Upstream,
)
from bench.soakrecord import CallerRequest, Execution, SoakRecord, VersionRead
from bench.targetwishes import FaultSpan

SEEDS = flags.DEFINE_string('seeds', '1-3', 'Seeds to run: FIRST-LAST.')
SECONDS = flags.DEFINE_float('seconds', 12.0, 'Length of the part with faults.')
OLDER = flags.DEFINE_string(
    'older',
    '',
    'Commit whose build runs at the start and, as often as this one, later.',
)
KEEP = flags.DEFINE_string('keep', '', 'Folder for logs of failed seeds.')

REGRESSION_SEEDS: tuple[tuple[int, str], ...] = (
    (12, 'a forwarded request used a leaving target as the last resort'),
)
"""Seeds that failed before, each with its cause; tests run them again."""

CALLER_COUNT = 8
"""Callers that send requests at the same time."""
MEAN_REQUEST_PAUSE = 0.03
"""Seconds between two requests of a caller, on average.

A process that was told to stop is also polled at this interval."""
REQUEST_DEADLINE = 0.9
"""Seconds until the deadline that callers set for a request."""
CALLER_TIMEOUT = 1.6
"""Seconds after which a caller stops waiting.

Later than the deadline and its tolerance, so that late answers are seen."""
MEAN_FAULT_INTERVAL = 0.8
"""Seconds between two faults, on average; faults last longer and overlap."""
MAX_FAULT_DURATION = 2.0
"""Most seconds that a process is suspended or a proxy disturbs connections."""
MAX_RESTART_DELAY = 0.5
"""Most seconds until a killed process is started again."""
CALM_PERIOD = 4.0
"""Seconds without faults at the end; recovery is checked in the last ones."""
RECOVERY_TIME = 3.0
"""Seconds from the last fault until all must work again.

Also the seconds that a core member without its data gets to catch up."""
STOP_TIMEOUT = 3.5
"""Seconds after which a process that was told to stop is killed."""
MEAN_EVACUATION = 3.0
"""Seconds that an evacuation lasts, on average."""
START_TIMEOUT = 20.0
"""Seconds in which the cluster must serve requests after its start."""
MAX_DEPARTURE = 5.0
"""Most seconds from the first answer of a leaving target to its next start.

Longer than the time in which it may still be used."""
MAX_PAUSE = 3.0
"""Most seconds for which a target asks for a pause."""
REPORT_INTERVAL = 0.5
"""Seconds between two announcements of a target to the core."""
OPERATOR_PAUSE = 0.3
"""Seconds until the operator sends unacknowledged routes again.

A quarter of the longest pause between two versions of the routes."""

Fault: TypeAlias = Callable[[], Awaitable[None]]


def route_document(version: int, base: int) -> dict[str, Any]:
    """Return routes for safe look-ups and unsafe orders, marked by version."""
    route = {
        'host': 'shop.example',
        'timeout_s': REQUEST_DEADLINE,
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
    """One run: cluster, targets behind proxies, callers, operator, faults."""

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        roots: tuple[pathlib.Path, ...] = (ROOT,),
    ) -> None:
        """Seed all random choices; keep logs and data in ``folder``.

        Processes run the sources of the first of ``roots`` at first, and those
        of any of them after a restart.
        """
        self.record = SoakRecord()
        self.cluster = LocalCluster(folder, roots)
        self._random = random.Random(seed)
        self._client = AsyncHTTPClient(force_instance=True, max_clients=64)
        self._ends_at = float(0)
        self._request_count = 0
        self._version = 0
        self._reserved: set[str] = set()
        """Processes with a fault: ``edge-ZONE``, or ``core`` for any member.

        Also the paths of the evacuations that are under way."""
        self._upstreams: list[Upstream] = []
        self._proxies: list[ChaosProxy] = []

    async def run(self, seconds: float) -> dict[str, list[str]]:
        """Inject faults for some seconds; return violations by guarantee."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._client.close)
            stack.enter_context(self.cluster)
            for zone, ip in self.cluster.ip_by_zone.items():
                await self._add_target(stack, zone, ip)
            reporting = asyncio.ensure_future(self._report_targets())
            stack.callback(reporting.cancel)
            await self.cluster.wait_until(self._is_ready, START_TIMEOUT)
            await self._inject_faults(seconds)
            self._collect_executions()
        return self.record.violations()

    async def _add_target(
        self,
        stack: contextlib.AsyncExitStack,
        zone: str,
        ip: str,
    ) -> None:
        ports = self.cluster.ports
        address, listen_address = f'{ip}:{ports[6]}', f'{ip}:{ports[7]}'
        upstream = Upstream(f'u-{zone}', zone, address, listen_address)
        self._upstreams.append(stack.enter_context(upstream))
        proxy = await stack.enter_async_context(
            ChaosProxy(address, listen_address)
        )
        self._proxies.append(proxy)

    async def _inject_faults(self, seconds: float) -> None:
        now = time.monotonic()
        faults_end = now + seconds
        self._ends_at = faults_end + STOP_TIMEOUT + CALM_PERIOD
        self.record.recovered_by = self._ends_at - CALM_PERIOD + RECOVERY_TIME
        callers = [self._run_caller() for _ in range(CALLER_COUNT)]
        running = [
            asyncio.ensure_future(task)
            for task in (*callers, self._run_operator())
        ]
        faults: list[asyncio.Future[None]] = []
        while time.monotonic() < faults_end:
            faults.append(asyncio.ensure_future(self._start_random_fault()))
            await asyncio.sleep(
                self._random.uniform(0, 2 * MEAN_FAULT_INTERVAL)
            )
        await asyncio.gather(*faults)
        await asyncio.gather(*running)
        await self._read_versions()

    def _start_random_fault(self) -> Awaitable[None]:
        faults: list[Fault] = [
            self._suspend_process,
            self._kill_process,
            self._stop_process,
            self._wipe_disk,
            self._disturb_connections,
            self._disturb_connections,
            self._evacuate_domain,
            self._let_target_leave,
            self._pause_target,
        ]
        return self._random.choice(faults)()

    async def _suspend_process(self) -> None:
        with self._reserve_process(
            self._random.choice(('core', 'edge'))
        ) as process:
            if process:
                self.cluster.signal(*process, signal.SIGSTOP)
                await asyncio.sleep(self._random.uniform(0, MAX_FAULT_DURATION))
                self.cluster.signal(*process, signal.SIGCONT)

    async def _kill_process(self) -> None:
        with self._reserve_process(
            self._random.choice(('core', 'edge'))
        ) as process:
            if process:
                await self._end_process(*process, signal.SIGKILL)
                await asyncio.sleep(self._random.uniform(0, MAX_RESTART_DELAY))
                self._start_any_build(*process)

    async def _stop_process(self) -> None:
        with self._reserve_process(
            self._random.choice(('core', 'edge'))
        ) as process:
            if process:
                await self._end_process(*process, signal.SIGTERM)
                self._start_any_build(*process)

    async def _wipe_disk(self) -> None:
        with self._reserve_process('core') as process:
            if process:
                await self._end_process(*process, signal.SIGKILL)
                self.cluster.wipe(*process)
                self._start_any_build(*process)
                # A group of three may lose committed entries if another member
                # loses its disk before this one has caught up.
                await asyncio.sleep(RECOVERY_TIME)

    def _start_any_build(self, role: str, zone: str) -> None:
        roots = self.cluster.roots
        root = self._random.choice(roots) if len(roots) > 1 else roots[0]
        self.cluster.start(role, zone, root=root)

    async def _disturb_connections(self) -> None:
        position = self._random.randrange(len(self._proxies))
        proxy = self._proxies[position]
        since = time.monotonic()
        proxy.fault = self._random.choice(list(ConnectionFault))
        await asyncio.sleep(self._random.uniform(0, MAX_FAULT_DURATION))
        proxy.fault = ConnectionFault.none
        self.record.link_faults.append(
            FaultSpan(self._upstreams[position].zone, since, time.monotonic())
        )

    async def _let_target_leave(self) -> None:
        """Let a target say that it leaves, and start again after a while.

        Its reports call it ready all the time.
        """
        upstream = self._random.choice(self._upstreams)
        upstream.is_leaving = True
        await asyncio.sleep(self._random.uniform(0, MAX_DEPARTURE))
        upstream.restart()

    async def _pause_target(self) -> None:
        upstream = self._random.choice(self._upstreams)
        length = self._random.uniform(0, MAX_PAUSE)
        upstream.paused_until = time.monotonic() + length
        await asyncio.sleep(length)

    async def _evacuate_domain(self) -> None:
        """Evacuate a domain for a while, unless that is under way.

        The end of one evacuation would end another one of the same domain.
        """
        zone = self._random.choice(list(REGION_BY_ZONE))
        path = f'/-/evacuations/{zone}'
        if path in self._reserved:
            return
        self._reserved.add(path)
        if await self._request_any_core('POST', path):
            since = time.monotonic()
            await asyncio.sleep(self._random.uniform(0, 2 * MEAN_EVACUATION))
            until = time.monotonic()
            self.record.evacuations.append((zone, since, until))
            await self._request_any_core('DELETE', path)
        self._reserved.discard(path)

    @contextlib.contextmanager
    def _reserve_process(self, role: str) -> Iterator[tuple[str, str] | None]:
        """Yield the role and zone of a process without a fault, None if taken.

        Only one core member has a fault at a time, so that the group keeps
        its majority.
        """
        zone = self._random.choice(list(REGION_BY_ZONE))
        name = role if role == 'core' else f'{role}-{zone}'
        if name in self._reserved:
            yield None
            return
        self._reserved.add(name)
        since = time.monotonic()
        yield role, zone
        self._reserved.discard(name)
        if role == 'edge':
            self.record.edge_faults.append((zone, since, time.monotonic()))

    async def _end_process(
        self, role: str, zone: str, signal_number: signal.Signals
    ) -> None:
        self.cluster.signal(role, zone, signal_number)
        deadline = time.monotonic() + STOP_TIMEOUT
        while not self.cluster.reap(role, zone):
            if time.monotonic() > deadline:
                self.cluster.signal(role, zone, signal.SIGKILL)
            await asyncio.sleep(MEAN_REQUEST_PAUSE)

    async def _run_caller(self) -> None:
        while time.monotonic() < self._ends_at:
            await self._send_caller_request()
            await asyncio.sleep(self._random.uniform(0, 2 * MEAN_REQUEST_PAUSE))

    async def _send_caller_request(self) -> None:
        self._request_count += 1
        is_unsafe = self._random.random() < 0.4
        request_id = f'r-{self._request_count}'
        path = f'/{"order" if is_unsafe else "look"}/{request_id}'
        zone = self._random.choice(list(REGION_BY_ZONE))
        started_at = time.monotonic()
        answer = await self._fetch(zone, path, request_id, is_unsafe=is_unsafe)
        self.record.requests.append(
            CallerRequest(
                request_id,
                path,
                is_unsafe,
                zone,
                started_at,
                time.monotonic(),
                REQUEST_DEADLINE,
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
        request_id: str,
        *,
        is_unsafe: bool,
    ) -> HTTPResponse:
        cluster = self.cluster
        request = HTTPRequest(
            f'http://{cluster.ip_by_zone[zone]}:{cluster.ports[0]}{path}',
            method='POST' if is_unsafe else 'GET',
            body='bales' if is_unsafe else None,
            headers={
                'Host': 'shop.example',
                'X-Request-Id': request_id,
                'X-Deadline-Ms': str(int(REQUEST_DEADLINE * 1000)),
            },
            request_timeout=CALLER_TIMEOUT,
            prepare_curl_callback=_force_new_connection if is_unsafe else None,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            return HTTPResponse(request, NO_ANSWER_STATUS, reason=str(error))

    async def _run_operator(self) -> None:
        while time.monotonic() < self._ends_at - CALM_PERIOD:
            await self._read_versions()
            version = self._version + self._random.randint(1, 3)
            document = route_document(version, self._version)
            # The next version names this one as its base, so this one must
            # be acknowledged first.
            while not await self._request_any_core(
                'PUT', '/-/config', document
            ):
                await asyncio.sleep(OPERATOR_PAUSE)
            self._version = version
            self.record.acknowledged_versions.append(
                (time.monotonic(), version)
            )
            await asyncio.sleep(self._random.uniform(0, 4 * OPERATOR_PAUSE))

    async def _request_any_core(
        self,
        method: str,
        path: str,
        document: Any = None,
    ) -> bool:
        zone = self._random.choice(list(REGION_BY_ZONE))
        answer = await self.cluster.request_core(zone, method, path, document)
        return answer.code == 200

    async def _read_versions(self) -> None:
        for zone in REGION_BY_ZONE:
            sent_at = time.monotonic()
            answer = await self.cluster.request_core(zone, 'GET', '/-/config')
            if answer.code == 200:
                text = answer.body.decode()
                version = text.partition('"version": "')[2][:8]
                self.record.version_reads.append(
                    VersionRead(sent_at, int(version, 16))
                )

    async def _report_targets(self) -> None:
        while True:
            for upstream in self._upstreams:
                await self._request_any_core(
                    'PUT',
                    f'/-/instances/{upstream.name}',
                    upstream.next_report(),
                )
            await asyncio.sleep(REPORT_INTERVAL)

    async def _is_ready(self) -> bool:
        document = route_document(1, 0)
        if not await self._request_any_core('PUT', '/-/config', document):
            return False
        self._version = 1
        answers = [
            await self.cluster.request_as_caller(zone, '/look/set-up', 'r-0')
            for zone in REGION_BY_ZONE
        ]
        return all(answer.code == 200 for answer in answers)

    def _collect_executions(self) -> None:
        self.record.executions = [
            Execution(path, upstream.zone, started_at)
            for upstream in self._upstreams
            for path, started_at in zip(
                upstream.paths, upstream.start_times, strict=True
            )
        ]
        self.record.arrivals = [
            arrival
            for upstream in self._upstreams
            for arrival in upstream.arrivals
        ]


def _force_new_connection(handle: Any) -> None:
    """Keep curl from resending an unsafe request on a dead connection.

    curl sends a request again if a reused connection turns out closed.
    """
    handle.setopt(pycurl.FRESH_CONNECT, 1)


def run_seed(
    seed: int, seconds: float, keep: str = '', older: str = ''
) -> dict[str, list[str]]:
    """Run one seed; return the guarantees that were violated, with cases.

    Copies the logs of a failed seed to a folder in ``keep``, if given. With
    the commit ``older``, its build and this one run side by side, and both
    must read the same state from each disk.
    """
    AsyncHTTPClient.configure('tornado.curl_httpclient.CurlAsyncHTTPClient')
    with tempfile.TemporaryDirectory() as folder:
        soak, violations = asyncio.run(
            _run(seed, pathlib.Path(folder), seconds, older)
        )
        violated = {name: cases for name, cases in violations.items() if cases}
        if violated and keep:
            kept_logs = pathlib.Path(keep) / f'seed-{seed}'
            kept_logs.mkdir(parents=True, exist_ok=True)
            for log in soak.cluster.log_paths():
                (kept_logs / log.name).write_bytes(log.read_bytes())
    statuses = [request.status for request in soak.record.requests]
    counts = {
        status: statuses.count(status) for status in sorted(set(statuses))
    }
    sys.stdout.write(f'seed {seed}: {counts} {violated or "no violations"}\n')
    return violated


async def _run(
    seed: int,
    folder: pathlib.Path,
    seconds: float,
    older: str,
) -> tuple[Soak, dict[str, list[str]]]:
    roots = (extract_build(older, folder), ROOT) if older else (ROOT,)
    # The HTTP client must be created in the running event loop.
    soak = Soak(seed, folder, roots)
    violations = await soak.run(seconds)
    if older:
        violations['same_state'] = differing_states(roots, folder)
    return soak, violations


def _main(_arguments: Sequence[str]) -> int:
    first, _, last = SEEDS.value.partition('-')
    seeds = range(int(first), int(last or first) + 1)
    failed_seeds = [
        seed
        for seed in seeds
        if run_seed(seed, SECONDS.value, KEEP.value, OLDER.value)
    ]
    sys.stdout.write(f'{len(seeds)} seeds, failed: {failed_seeds or "none"}\n')
    return int(bool(failed_seeds))


if __name__ == '__main__':
    app.run(_main)

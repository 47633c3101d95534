"""Runs core and edge processes on loopback as a provider's platform would.

Every simulated machine has its own loopback address, and all use the same
ports. The tests act as targets, callers and operator.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from types import MappingProxyType, TracebackType
from typing import Any, Self, final

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from bench.layout import free_block
from bench.measurements import processor_seconds
from bench.targetwishes import Arrival

ROOT = pathlib.Path(__file__).parent.parent
REGION_BY_ZONE = MappingProxyType(
    {'tirol-a': 'tirol', 'kaernten-a': 'kaernten', 'wien-a': 'wien'},
)
"""Region of each zone; the platform calls a failure domain a zone."""
NO_ANSWER_STATUS = 599
"""HTTP status reported for a machine that did not answer."""
PORT_COUNT = 8
"""Ports used on each address; see ``LocalCluster.ports``."""
STOP_TIMEOUT = 10.0
"""Seconds after which a process that was told to stop is killed."""
REQUEST_TIMEOUT = 2.0
"""Seconds after which a request to a machine counts as unanswered."""
POLL_INTERVAL = 0.05
"""Seconds between two checks of a condition that is waited for."""
NORMAL_SLOWNESS_PERCENT = 100
"""Service time that a target reports, in percent of its normal one."""
HANG_SECONDS = 3.0
"""Seconds that a request hangs; longer than any caller waits."""


@final
@dataclasses.dataclass(frozen=True)
class RawAnswer:
    """Octets that are written as they are, so that they can violate HTTP."""

    octets: bytes
    """The answer; ``ID`` stands for the id of the request."""
    closes: bool
    """Whether the connection ends behind it."""


@final
class Upstream:
    """A fake target that signs its answers and records its requests.

    Announcements are built by ``next_report`` and sent by the test.
    """

    version = 'v1'
    is_failing = False
    """Whether it answers every request with status 500."""
    raw_answer: RawAnswer | None = None
    """What it writes to the paths that have ``raw`` in them."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: str,
        listen_address: str = '',
    ) -> None:
        """Announce ``address``, and listen there while the context is open.

        If ``listen_address`` is given, it listens there instead, and a proxy
        at ``address`` must forward to it.
        """
        self._listen_address = listen_address or address
        self.name = name
        self.zone = zone
        self.address = address
        self.paths: list[str] = []
        """Paths of the requests that began to run."""
        self.rejected: list[str] = []
        """Paths of the requests that were rejected without running."""
        self.start_times: list[float] = []
        """When each of them began, by the monotonic clock in seconds."""
        self.arrivals: list[Arrival] = []
        """All requests for this target, also those that it rejected."""
        self.is_leaving = False
        """Whether its answers say that it leaves; its reports do not."""
        self.paused_until = float(0)
        """Until when it rejects requests, by the monotonic clock in seconds.

        Health checks succeed meanwhile, so that nothing else keeps requests
        away."""
        self.cold_ms = 0
        """Milliseconds until it is warm, as it reports them."""
        self.sequence = 0
        self.born = int(time.time() * 1000)
        """Start of the target in milliseconds since the epoch."""
        self._server: HTTPServer | None = None

    def __enter__(self) -> Self:
        """Start listening."""
        self._server = HTTPServer(
            Application(
                [('/.*', _UpstreamPage, {'upstream': self})],
                log_function=_skip_request_log,
            ),
        )
        host, _, port = self._listen_address.rpartition(':')
        self._server.listen(int(port), host)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening."""
        if self._server:
            self._server.stop()

    def restart(self) -> None:
        """Begin anew under the same name, as another incarnation."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.sequence = 0
        self.is_leaving = False
        self.paused_until = 0

    def next_report(self, state: str = 'ready') -> dict[str, Any]:
        """Return the next announcement, for ``PUT /-/instances/NAME``."""
        self.sequence += 1
        return {
            'address': self.address,
            'info': {
                'service': 'stock',
                'version': self.version,
                'zone': self.zone,
                'capacity': 4,
            },
            'status': {
                'state': state,
                'sequence': self.sequence,
                'warmup_left_s': self.cold_ms / 1000,
            },
            'born': self.born,
        }


class _UpstreamPage(RequestHandler):
    """Answers requests and health checks for a fake target."""

    def initialize(self, upstream: Upstream) -> None:
        """Set the target to answer for."""
        self.upstream = upstream

    async def get(self) -> None:
        """Answer; a path with a name of a failure asks for that one.

        It is ``hang``, ``fail``, ``reset`` or ``reject``.
        """
        upstream = self.upstream
        self.set_header('X-Server-Load', f'0,0,4,{NORMAL_SLOWNESS_PERCENT}')
        if upstream.is_leaving:
            self.set_header('Server-Leaving', '1')
        if self.request.path == '/health':
            self.set_header('X-Instance-Id', upstream.name)
            self.set_header('X-Warmup-Ms', str(upstream.cold_ms))
            self.set_status(503 if upstream.is_leaving else 200)
            return
        if self.request.headers.get('X-Expect-Instance') != upstream.name:
            self.set_status(421)
            return
        now = time.monotonic()
        upstream.arrivals.append(
            Arrival(
                self.request.path,
                upstream.zone,
                upstream.born,
                now,
                upstream.is_leaving,
                max(upstream.paused_until - now, 0),
            )
        )
        self.set_header('X-Request-Id', self.request.headers['X-Request-Id'])
        if 'reject' in self.request.path:
            upstream.rejected.append(self.request.path)
            self.set_header('X-Not-Executed', '1')
            self.set_status(503)
            return
        if self._reject_in_pause():
            return
        upstream.paths.append(self.request.path)
        upstream.start_times.append(now)
        self.set_header('X-Response-Signature', 'signed')
        await self._respond()

    async def post(self) -> None:
        """Answer as to GET."""
        await self.get()

    async def _respond(self) -> None:
        """Answer a request that runs."""
        if 'hang' in self.request.path:
            await asyncio.sleep(HANG_SECONDS)
        if 'reset' in self.request.path:
            self.detach().close()
            return
        if 'raw' in self.request.path and self.upstream.raw_answer:
            await self._write_raw(self.upstream.raw_answer)
            return
        if self.upstream.is_failing or 'fail' in self.request.path:
            self.set_status(500)
        self.finish(f'{self.upstream.name} {self.request.path}')

    async def _write_raw(self, answer: RawAnswer) -> None:
        """Write an answer; a connection that is kept waits for its end."""
        request_id = self.request.headers['X-Request-Id'].encode()
        stream = self.detach()
        with contextlib.suppress(StreamClosedError):
            await stream.write(answer.octets.replace(b'ID', request_id))
            if not answer.closes:
                await stream.read_until_close()
        stream.close()

    def _reject_in_pause(self) -> bool:
        """Reject the request if the target wants nothing at the moment."""
        time_left = self.upstream.paused_until - time.monotonic()
        if time_left <= 0:
            return False
        self.set_status(503)
        self.set_header('X-Not-Executed', '1')
        self.set_header('Retry-After', f'{time_left:.3f}')
        return True


def _skip_request_log(page: RequestHandler) -> None:
    """Write no access log line for a request."""


@final
class LocalCluster:
    """Three simulated machines, one per zone, each with a core and an edge."""

    def __init__(
        self,
        folder: pathlib.Path,
        roots: tuple[pathlib.Path, ...] = (ROOT,),
        bounds: Mapping[str, Any] | None = None,
        contracts: tuple[str, ...] = (),
    ) -> None:
        """Use ``folder`` for settings, data and output of the processes.

        ``roots`` are the sources that they may run, the first ones first;
        ``bounds`` are added to those in the settings.
        ``contracts`` are the parts in force.
        """
        self.folder = folder
        self._bounds = {'grace_s': 3, 'ttl_max_s': 1, **(bounds or {})}
        self.roots = roots
        self.contracts = contracts
        self.ports = free_block(PORT_COUNT)
        """Ports of every machine, by position.

        0: edge for callers, 1: readiness of the edge, 2: directory of the
        edge, 3: core API, 4 and 5: first and last port between processes,
        6: target, 7: target behind a proxy.
        """
        self.ip_by_zone = {
            zone: f'127.0.0.{number}'
            for number, zone in enumerate(REGION_BY_ZONE, start=11)
        }
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        """Start all processes; the core members bootstrap their group."""
        for zone in REGION_BY_ZONE:
            self.start('core', zone, bootstrap=True)
            self.start('edge', zone, bootstrap=True)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the remaining processes; kill those that do not end in time."""
        for process in self._process_by_name.values():
            process.terminate()
        for process in self._process_by_name.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(STOP_TIMEOUT)
            process.kill()
            process.wait()

    def start(
        self,
        role: str,
        zone: str,
        *,
        bootstrap: bool = False,
        root: pathlib.Path | None = None,
    ) -> None:
        """Start one process with newly written settings.

        ``bootstrap`` allows a core member to bootstrap the group. ``root`` has
        the sources, by default those of the first start.
        """
        self._launch(
            role,
            f'{role}-{zone}',
            self._settings(role, zone, bootstrap=bootstrap),
            root or self.roots[0],
        )

    def add_edge(self, zone: str, number: int) -> str:
        """Start one more edge in a zone; return its address for callers.

        ``number`` is 2 or higher.
        """
        settings = self._settings('edge', zone, bootstrap=True, number=number)
        self._launch('edge', f'edge-{zone}-{number}', settings, self.roots[0])
        return str(settings['listen']['front'])

    def processor_seconds(self) -> dict[str, float]:
        """Return the processor time of each running process, in seconds."""
        return {
            name: processor_seconds(process.pid)
            for name, process in self._process_by_name.items()
        }

    def _launch(
        self,
        role: str,
        name: str,
        document: dict[str, Any],
        source: pathlib.Path,
    ) -> None:
        settings = self.folder / f'{name}.json'
        settings.write_text(json.dumps(document), encoding='utf-8')
        with (self.folder / f'{name}.log').open('ab') as output:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, str(source / 'deploy' / 'launch.py'), role],
                env={
                    **os.environ,
                    'TURMERICMAST_NODE_FILE': str(settings),
                },
                stdout=output,
                stderr=output,
            )

    def stop(self, role: str, zone: str, signal_number: signal.Signals) -> int:
        """Send a signal to one process, wait, and return its exit status."""
        process = self._process_by_name.pop(f'{role}-{zone}')
        process.send_signal(signal_number)
        return process.wait(STOP_TIMEOUT)

    def signal(
        self, role: str, zone: str, signal_number: signal.Signals
    ) -> None:
        """Send a signal to a running process."""
        self._process_by_name[f'{role}-{zone}'].send_signal(signal_number)

    def reap(self, role: str, zone: str) -> bool:
        """Return whether a process has ended, and stop tracking it if so."""
        name = f'{role}-{zone}'
        if self._process_by_name[name].poll() is None:
            return False
        self._process_by_name.pop(name)
        return True

    def wipe(self, role: str, zone: str) -> None:
        """Delete the data folder of a process that has ended."""
        shutil.rmtree(self.folder / f'data-{role}-{zone}', ignore_errors=True)

    def log_paths(self) -> list[pathlib.Path]:
        """Return the files with the output of the processes."""
        return sorted(self.folder.glob('*.log'))

    def event_lines(self, role: str, zone: str) -> list[dict[str, Any]]:
        """Return the events that a process has written to its output."""
        text = (self.folder / f'{role}-{zone}.log').read_text(encoding='utf-8')
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{')
        ]

    async def send_request(
        self,
        zone: str,
        port: int,
        path: str,
        method: str = 'GET',
        document: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> HTTPResponse:
        """Send one request to a machine.

        Returns answers of any status; one with ``NO_ANSWER_STATUS`` if the
        machine did not answer.
        """
        body = None if document is None else json.dumps(document)
        request = HTTPRequest(
            f'http://{self.ip_by_zone[zone]}:{port}{path}',
            method=method,
            body='' if body is None and method == 'POST' else body,
            headers=dict(headers or {}),
            request_timeout=REQUEST_TIMEOUT,
            allow_nonstandard_methods=True,
        )
        try:
            return await AsyncHTTPClient().fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            # The process is not listening yet, or has ended.
            return HTTPResponse(request, NO_ANSWER_STATUS, reason=str(error))

    async def request_as_caller(
        self,
        zone: str,
        path: str,
        request_id: str,
        host: str = 'shop.example',
        key: str = '',
    ) -> HTTPResponse:
        """Send a GET request to the edge of a machine, as a caller.

        ``key`` is that of a client account, empty for none.
        """
        return await self.send_request(
            zone,
            self.ports[0],
            path,
            headers={
                'Host': host,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': '900',
                **({'Api-Key': key} if key else {}),
            },
        )

    async def request_core(
        self,
        zone: str,
        method: str,
        path: str,
        document: Any = None,
    ) -> HTTPResponse:
        """Send a request to the HTTP API of the core member of a machine."""
        return await self.send_request(
            zone, self.ports[3], path, method, document
        )

    async def wait_until(self, condition: Any, timeout: float = 15.0) -> None:
        """Call an async function repeatedly until it returns true.

        Raises ``TimeoutError`` with the name of the function after ``timeout``
        seconds.
        """
        deadline = time.monotonic() + timeout
        while not await condition():
            if time.monotonic() > deadline:
                raise TimeoutError(getattr(condition, '__name__', 'condition'))
            await asyncio.sleep(POLL_INTERVAL)

    def _settings(
        self,
        role: str,
        zone: str,
        *,
        bootstrap: bool,
        number: int = 1,
    ) -> dict[str, Any]:
        ip = self.ip_by_zone[zone]
        suffix = ''
        if number > 1:
            suffix = f'-{number}'
            ip = ip.replace('127.0.0.', f'127.0.{number}.')
        listen = (
            {'control': f'{ip}:{self.ports[3]}'}
            if role == 'core'
            else {
                'front': f'{ip}:{self.ports[0]}',
                'ready_address': f'{ip}:{self.ports[1]}',
                'directory': f'{ip}:{self.ports[2]}',
            }
        )
        return {
            'node_name': f'front-{zone}-{number}',
            'role': role,
            'ip': ip,
            'zone': zone,
            'region': REGION_BY_ZONE[zone],
            'zones': dict(REGION_BY_ZONE),
            'listen': listen,
            'port_range': self.ports[4:6],
            'seeds': [
                f'{seed_ip}:{self.ports[3]}'
                for seed_ip in self.ip_by_zone.values()
            ],
            'bootstrap': bootstrap,
            'data_dir': str(self.folder / f'data-{role}-{zone}{suffix}'),
            'heartbeat_interval_s': 1.5,
            'bounds': self._bounds,
            'contracts': list(self.contracts),
        }

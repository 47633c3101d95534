"""Stand-in for the users' machines: processes on addresses of loopback.

Every machine has a loopback address of its own and the same ports, as on the
users' machines; targets and the operator are played here.
"""

import asyncio
import contextlib
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
from tornado.web import Application, RequestHandler

from bench.layout import free_block

ROOT = pathlib.Path(__file__).parent.parent
ZONES = MappingProxyType(
    {'tirol-a': 'tirol', 'kaernten-a': 'kaernten', 'wien-a': 'wien'},
)
NO_ANSWER = 599
"""Status that stands for a machine that did not answer."""
PORTS_NEEDED = 8
STOP_TIMEOUT = 10.0
ASK_TIMEOUT = 2.0
STEP = 0.05
SLOWNESS_AS_USUAL = 100
HANG_SECONDS = 3.0
"""Longer than any caller waits here."""


@final
class Upstream:
    """A target that announces itself and signs its answers."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: str,
        behind: str = '',
    ) -> None:
        """Listen on ``address`` once started.

        With ``behind`` it listens there, and something at ``address``
        forwards to it.
        """
        self._listens_at = behind or address
        self.name = name
        self.zone = zone
        self.address = address
        self.paths: list[str] = []
        self.times: list[float] = []
        """When each of them began, by the steady clock."""
        self.cold_ms = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self._server: HTTPServer | None = None

    def __enter__(self) -> Self:
        """Start to listen."""
        self._server = HTTPServer(
            Application(
                [('/.*', _UpstreamPage, {'upstream': self})],
                log_function=_log_nothing,
            ),
        )
        host, _, port = self._listens_at.rpartition(':')
        self._server.listen(int(port), host)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop."""
        if self._server:
            self._server.stop()

    def report(self, state: str = 'ready') -> dict[str, Any]:
        """Return the next report."""
        self.sequence += 1
        return {
            'address': self.address,
            'info': {
                'service': 'stock',
                'version': 'v1',
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
    """Answers requests, and questions for health."""

    def initialize(self, upstream: Upstream) -> None:
        """Keep the target."""
        self.upstream = upstream

    async def get(self) -> None:
        """Answer, unless the path asks for a failure."""
        one = self.upstream
        self.set_header('X-Server-Load', f'0,0,4,{SLOWNESS_AS_USUAL}')
        if self.request.path == '/health':
            self.set_header('X-Instance-Id', one.name)
            self.set_header('X-Warmup-Ms', str(one.cold_ms))
            return
        if self.request.headers.get('X-Expect-Instance') != one.name:
            self.set_status(421)
            return
        one.paths.append(self.request.path)
        one.times.append(time.monotonic())
        self.set_header('X-Request-Id', self.request.headers['X-Request-Id'])
        self.set_header('X-Response-Signature', 'signed')
        if 'hang' in self.request.path:
            await asyncio.sleep(HANG_SECONDS)
        if 'fail' in self.request.path:
            self.set_status(500)
        self.finish(f'{one.name} {self.request.path}')

    async def post(self) -> None:
        """Answer in the same way."""
        await self.get()


def _log_nothing(page: RequestHandler) -> None:
    """Leave out the access log, which tells nothing here."""


@final
class Machines:
    """Three machines with a core member and an edge each."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Keep data and output in ``folder``."""
        self.folder = folder
        self.ports = free_block(PORTS_NEEDED)
        self.ip_by_zone = {
            zone: f'127.0.0.{number}'
            for number, zone in enumerate(ZONES, start=11)
        }
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        """Start all processes."""
        for zone in ZONES:
            self.start('core', zone, first=True)
            self.start('edge', zone, first=True)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the processes that were started here."""
        for process in self._process_by_name.values():
            process.terminate()
        for process in self._process_by_name.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(STOP_TIMEOUT)
            process.kill()
            process.wait()

    def start(self, role: str, zone: str, *, first: bool = False) -> None:
        """Start one process."""
        name = f'{role}-{zone}'
        settings = self.folder / f'{name}.json'
        settings.write_text(
            json.dumps(self._settings(role, zone, first=first)),
            encoding='utf-8',
        )
        with (self.folder / f'{name}.log').open('ab') as output:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, str(ROOT / 'deploy' / 'launch.py'), role],
                env={
                    **os.environ,
                    'TURMERICMAST_NODE_FILE': str(settings),
                },
                stdout=output,
                stderr=output,
            )

    def stop(self, role: str, zone: str, number: signal.Signals) -> int:
        """Send a signal to one process and return its exit status."""
        process = self._process_by_name.pop(f'{role}-{zone}')
        process.send_signal(number)
        return process.wait(STOP_TIMEOUT)

    def signal(self, role: str, zone: str, number: signal.Signals) -> None:
        """Send a signal to one process that was started here."""
        self._process_by_name[f'{role}-{zone}'].send_signal(number)

    def reap(self, role: str, zone: str) -> bool:
        """Tell whether a process has ended, and forget it if so."""
        name = f'{role}-{zone}'
        if self._process_by_name[name].poll() is None:
            return False
        self._process_by_name.pop(name)
        return True

    def wipe(self, role: str, zone: str) -> None:
        """Remove the data of a process that has ended."""
        shutil.rmtree(self.folder / f'data-{role}-{zone}', ignore_errors=True)

    def logs(self) -> list[pathlib.Path]:
        """Return the files with what the processes wrote."""
        return sorted(self.folder.glob('*.log'))

    def lines(self, role: str, zone: str) -> list[dict[str, Any]]:
        """Return what a process has written to its standard output."""
        text = (self.folder / f'{role}-{zone}.log').read_text(encoding='utf-8')
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{')
        ]

    async def ask(
        self,
        zone: str,
        port: int,
        path: str,
        method: str = 'GET',
        document: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> HTTPResponse:
        """Send one request to a machine; errors are answers too."""
        body = None if document is None else json.dumps(document)
        request = HTTPRequest(
            f'http://{self.ip_by_zone[zone]}:{port}{path}',
            method=method,
            body='' if body is None and method == 'POST' else body,
            headers=dict(headers or {}),
            request_timeout=ASK_TIMEOUT,
            allow_nonstandard_methods=True,
        )
        try:
            return await AsyncHTTPClient().fetch(request, raise_error=False)
        except (OSError, HTTPClientError) as error:
            # It may not listen yet, or not any more.
            return HTTPResponse(request, NO_ANSWER, reason=str(error))

    async def call(
        self,
        zone: str,
        path: str,
        request: str,
        host: str = 'shop.example',
    ) -> HTTPResponse:
        """Send a request of a caller."""
        return await self.ask(
            zone,
            self.ports[0],
            path,
            headers={
                'Host': host,
                'X-Request-Id': request,
                'X-Deadline-Ms': '900',
            },
        )

    async def order(
        self,
        zone: str,
        method: str,
        path: str,
        document: Any = None,
    ) -> HTTPResponse:
        """Send an order to the core member of a machine."""
        return await self.ask(zone, self.ports[3], path, method, document)

    async def until(self, is_so: Any, timeout: float = 15.0) -> None:
        """Wait until an awaited check holds, for some seconds at most."""
        deadline = time.monotonic() + timeout
        while not await is_so():
            if time.monotonic() > deadline:
                raise TimeoutError(getattr(is_so, '__name__', 'check'))
            await asyncio.sleep(STEP)

    def _settings(
        self,
        role: str,
        zone: str,
        *,
        first: bool,
    ) -> dict[str, Any]:
        ip = self.ip_by_zone[zone]
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
            'node_name': f'front-{zone}-1',
            'role': role,
            'ip': ip,
            'zone': zone,
            'region': ZONES[zone],
            'zones': dict(ZONES),
            'listen': listen,
            'port_range': self.ports[4:6],
            'seeds': [
                f'{one}:{self.ports[3]}' for one in self.ip_by_zone.values()
            ],
            'bootstrap': first,
            'data_dir': str(self.folder / f'data-{role}-{zone}'),
            'heartbeat_interval_s': 1.5,
            'bounds': {'grace_s': 3, 'ttl_max_s': 1},
        }

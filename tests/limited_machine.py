"""One machine, whose core member and edge have little memory."""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from types import MappingProxyType
from typing import Any, final

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from bench.layout import free_block
from bench.machines import ROOT
from tests.platform_samples import ROUTES, changed, encoded

ADDRESS = '127.0.0.21'
"""IP address of the machine under test, whose core has two more members."""
MEMBERS = ('core', 'core-2', 'core-3')
IP_BY_MEMBER = MappingProxyType(
    {name: f'127.0.0.{21 + place}' for place, name in enumerate(MEMBERS)}
)
STOP_TIMEOUT = 10.0
"""Seconds after which a process that was told to stop is killed."""
READY_WITHIN = 20.0
"""Seconds within which an ordinary request must be answered, under any load."""
REQUEST_TIMEOUT = 3.0
"""Seconds after which a request is sent again."""
LONG_BODY_BYTES = 8_388_608
"""Bytes of the response to a path that holds ``long``."""
PIECE = bytes(65_536)
MAX_BODY_BYTES = 67_108_864
FIRST_ROUTES = changed(
    changed(ROUTES, 'version', '00000001'), 'base_version', '0'
)
LIMITED_ROUTES = changed(FIRST_ROUTES, 'limits.max_body_bytes', 1_048_576)
LIMITED_ROUTES = changed(LIMITED_ROUTES, 'limits.idle_timeout_s', 120)
LIMITED_ROUTES = changed(LIMITED_ROUTES, 'limits.header_timeout_s', 60)
LIMITED_ROUTES = changed(
    LIMITED_ROUTES,
    'routes.look.traffic_split',
    [{'service': 'stock', 'weight': 1}],
)
LIMITED_ROUTES = changed(LIMITED_ROUTES, 'routes.look.timeout_s', 10)
LIMITED_ROUTES = changed(
    LIMITED_ROUTES,
    'routes.send',
    {
        **FIRST_ROUTES['routes']['order'],
        'host': 'shop.example',
        'path_prefix': '/put/',
        'kind': 'upload',
        'timeout_s': 20,
        'service': 'stock',
        'max_attempts': 1,
        'allowed_regions': [],
    },
)
"""Routes with small bodies and long times, so that only limits end clients."""


@stream_request_body
class _TargetPage(RequestHandler):
    """A target that signs what it answers, at length if the path says so."""

    def data_received(self, chunk: bytes) -> None:
        """Read and drop the body."""

    async def get(self) -> None:
        """Answer a health check or a request."""
        self.set_header('X-Server-Load', '0,0,4,100')
        self.set_header('X-Instance-Id', 'u')
        self.set_header('X-Warmup-Ms', '0')
        if self.request.path == '/health':
            return
        self.set_header('X-Request-Id', self.request.headers['X-Request-Id'])
        self.set_header('X-Response-Signature', 'signed')
        if 'hang' in self.request.path:
            await asyncio.sleep(REQUEST_TIMEOUT)
        if 'long' in self.request.path:
            self.set_header('Content-Length', str(LONG_BODY_BYTES))
            with contextlib.suppress(StreamClosedError):
                for _ in range(LONG_BODY_BYTES // len(PIECE)):
                    self.write(PIECE)
                    await self.flush()

    async def post(self) -> None:
        """Answer as to GET."""
        await self.get()


@final
class LimitedMachine:
    """An edge and a core member, as processes, and two more members."""

    def __init__(
        self, folder: pathlib.Path, memory_mb: int, max_fds: int
    ) -> None:
        """Let the processes have ``memory_mb`` and ``max_fds`` each."""
        self.ports = free_block(8)
        """Ports by position.

        0: edge for callers, 1: readiness, 2: directory, 3: operators, 4: core
        for edges, 5: edge for instances, 6: target.
        """
        self._folder = folder
        self._limits = {'memory_mb': memory_mb, 'max_fds': max_fds}
        self.process_by_role: dict[str, subprocess.Popen[bytes]] = {}

    async def start(self, routes: Any) -> None:
        """Start the processes, and wait until a request is answered."""
        for role in (*MEMBERS, 'edge'):
            self._launch(role)
        deadline = time.monotonic() + READY_WITHIN
        while not await self._is_set_up(routes):
            if time.monotonic() > deadline:
                raise TimeoutError('start')
            await asyncio.sleep(0.05)

    def stop(self) -> None:
        """Stop the processes."""
        for process in self.process_by_role.values():
            process.terminate()
        for process in self.process_by_role.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(STOP_TIMEOUT)
            process.kill()
            process.wait()

    def is_alive(self, role: str) -> bool:
        """Tell whether a process runs."""
        return self.process_by_role[role].poll() is None

    def peak_mb(self, role: str) -> float:
        """Return the peak of a process's resident size, in 10^6 bytes."""
        pid = self.process_by_role[role].pid
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        return int(status.split('VmHWM:')[1].split()[0]) * 1024 / 1_000_000

    def descriptors(self, role: str) -> int:
        """Return the number of a process's open descriptors."""
        return len(os.listdir(f'/proc/{self.process_by_role[role].pid}/fd'))

    async def is_answering(self, role: str) -> bool:
        """Tell whether an ordinary request is answered in the end."""
        deadline = time.monotonic() + READY_WITHIN
        while time.monotonic() < deadline:
            answered = (
                await self.request(0, '/stock/1') == 200
                if role == 'edge'
                else await self.request(3, '/-/config') == 200
            )
            if answered:
                return True
            await asyncio.sleep(0.2)
        return False

    async def request(
        self,
        port: int,
        path: str,
        method: str = 'GET',
        body: bytes | None = None,
        timeout: float = REQUEST_TIMEOUT,
    ) -> int:
        """Send a request; return its status, 0 without a response."""
        request = HTTPRequest(
            f'http://{ADDRESS}:{self.ports[port]}{path}',
            method=method,
            body=body,
            headers={'Host': 'shop.example', 'X-Request-Id': 'r'},
            request_timeout=timeout,
            connect_timeout=timeout,
        )
        try:
            answer = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            return 0
        return answer.code

    async def _is_set_up(self, routes: Any) -> bool:
        report = {
            'address': f'{ADDRESS}:{self.ports[6]}',
            'info': {
                'service': 'stock',
                'version': 'v1',
                'zone': 'tirol-a',
                'capacity': 64,
            },
            'status': {'state': 'ready', 'sequence': 1, 'warmup_left_s': 0},
            'born': 1_700_000_000_000,
        }
        for path, document in (
            ('/-/config', routes),
            ('/-/instances/u', report),
        ):
            if await self.request(3, path, 'PUT', encoded(document)) != 200:
                return False
        return await self.request(0, '/stock/1') == 200

    def _launch(self, role: str) -> None:
        program = role.partition('-')[0]
        ip = IP_BY_MEMBER.get(role, ADDRESS)
        listen = (
            {'control': f'{ip}:{self.ports[3]}'}
            if program == 'core'
            else {
                'front': self._address(0),
                'ready_address': self._address(1),
                'directory': self._address(2),
            }
        )
        settings = {
            'node_name': f'front-{ip}',
            'role': program,
            'ip': ip,
            'zone': 'tirol-a',
            'region': 'tirol',
            'zones': {'tirol-a': 'tirol'},
            'listen': listen,
            'port_range': self.ports[4:6],
            'seeds': [
                f'{each}:{self.ports[3]}' for each in IP_BY_MEMBER.values()
            ],
            'bootstrap': True,
            'data_dir': str(self._folder / role),
            'heartbeat_interval_s': 120,
            'bounds': {'grace_s': 2, 'ttl_max_s': 1},
            'limits': self._limits,
        }
        path = self._folder / f'{role}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        with (self._folder / f'{role}.log').open('ab') as output:
            process = subprocess.Popen(
                [sys.executable, str(ROOT / 'deploy' / 'launch.py'), program],
                env={**os.environ, 'TURMERICMAST_NODE_FILE': str(path)},
                stdout=output,
                stderr=output,
            )
        # The machine enforces what the settings say of it.
        limit = self._limits['max_fds']
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        self.process_by_role[role] = process

    def _address(self, port: int) -> str:
        return f'{ADDRESS}:{self.ports[port]}'


@contextlib.asynccontextmanager
async def run_machine(
    memory_mb: int, max_fds: int, routes: Any = LIMITED_ROUTES
) -> AsyncIterator[LimitedMachine]:
    """Run a machine and its target until the context is closed."""
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        machine = LimitedMachine(pathlib.Path(folder), memory_mb, max_fds)
        target = HTTPServer(
            Application([('/.*', _TargetPage)], log_function=lambda _: None),
            max_body_size=MAX_BODY_BYTES,
        )
        target.listen(machine.ports[6], ADDRESS)
        stack.push_async_callback(target.close_all_connections)
        stack.callback(target.stop)
        stack.callback(machine.stop)
        await machine.start(routes)
        yield machine

"""Edges and targets that run in the process of a test, on loopback."""

import asyncio
import contextlib
import socket
import unittest.mock
from collections.abc import Iterable, Iterator
from types import TracebackType
from typing import Self, final

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from tests.edge_samples import REGION_BY_DOMAIN
from tests.platform_samples import ROUTES, changed, encoded
from turmericmast.clock import SystemClock
from turmericmast.cluster.records import (
    ClusterFeed,
    EdgePhase,
    EdgeRecord,
    TargetPhase,
    TargetRecord,
)
from turmericmast.edge.edge import Edge
from turmericmast.instancesettings import Bounds
from turmericmast.metrics import Metrics
from turmericmast.platform.documents import DocumentFormat
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.crashdetection import CrashDetector
from turmericmast.web.curl import CurlClient
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgefrontend import EdgeFrontend, Origin
from turmericmast.web.loadsharing import LoadSharing
from turmericmast.web.probing import Prober

ONE_SERVICE = changed(
    ROUTES,
    'routes.look.traffic_split',
    [{'service': 'stock', 'weight': 1}],
)
"""Routes of which look-ups go to one service only."""
CONNECT_TIMEOUT_MS = 100
"""Milliseconds to connect to a target; on loopback it takes far less."""
MAX_IDLE_SECONDS = 7
"""Seconds after which an idle connection to a target is not reused."""


def target_at(name: str, address: str, service: str = 'stock') -> TargetRecord:
    """Return a target in ``tirol-a`` that has announced an address."""
    return TargetRecord(
        name, 10, 1, service, address, 'tirol-a', 4, TargetPhase.ready
    )


@contextlib.contextmanager
def without_probes() -> Iterator[None]:
    """Send no health checks, so that none gets a late response before."""
    with (
        unittest.mock.patch.object(Prober, 'probe'),
        unittest.mock.patch.object(Prober, 'start', _lose_probe),
    ):
        yield


def _lose_probe(*_probed: object) -> 'asyncio.Future[bool]':
    lost: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    lost.set_result(False)
    return lost


@final
class RunningEdge:
    """An edge with the ports for callers and instances, without a core."""

    def __init__(self, name: str, domain: str = 'tirol-a') -> None:
        """Prepare the edge; it runs while the context is open."""
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.events = unittest.mock.Mock()
        self._stack = contextlib.ExitStack()
        self._sockets = [bind_unused_port() for _ in Origin]
        addresses = [f'127.0.0.1:{port}' for _, port in self._sockets]
        self.address = addresses[0]
        self.record = EdgeRecord(
            name,
            '1',
            self.address,
            domain,
            REGION_BY_DOMAIN[domain],
            EdgePhase.serving,
            addresses[1],
        )
        self.edge = Edge(self.record, REGION_BY_DOMAIN, Bounds())

    def __enter__(self) -> Self:
        """Serve callers and instances."""
        self.report_crash = unittest.mock.AsyncMock(return_value=True)
        curl = self._stack.enter_context(
            CurlClient(CONNECT_TIMEOUT_MS, MAX_IDLE_SECONDS, self.metrics)
        )
        prober = Prober(
            curl, PlatformHeaders(), self.clock, self.metrics, self.events
        )
        self.context = EdgeContext(
            edge=self.edge,
            clock=self.clock,
            curl=curl,
            header_format=PlatformHeaders(),
            prober=prober,
            load_sharing=self._stack.enter_context(
                LoadSharing(self.edge, prober, self.clock, self.metrics)
            ),
            crash_detector=CrashDetector(
                self.edge,
                prober,
                self.clock,
                self.events,
                self.report_crash,
            ),
            metrics=self.metrics,
            events=self.events,
        )
        for origin, (sock, _) in zip(Origin, self._sockets, strict=True):
            server = HTTPServer(EdgeFrontend(self.context, origin))
            server.add_socket(sock)
            self._stack.callback(server.stop)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop serving."""
        self._stack.close()

    async def open(
        self, *others: 'RunningEdge', targets: Iterable[TargetRecord]
    ) -> None:
        """Apply a feed with itself, other instances and ``targets``."""
        edges = tuple(edge.record for edge in (self, *others))
        self.edge.apply(
            ClusterFeed(1, True, None, (), tuple(targets), (), edges, ()),
            DocumentFormat().parse(encoded(ONE_SERVICE)).unwrap(),
        )
        await self.context.load_sharing.open(self.record.peer)

    def count(self, name: str) -> int:
        """Return the sum of a counter over its labels."""
        return sum(
            number
            for (counter, _labels), number in self.metrics.count_by_name.items()
            if counter == name
        )


@final
class HangingAddress:
    """An address whose connections are neither opened nor refused."""

    def __enter__(self) -> str:
        """Fill the queue of a port that accepts nothing; return its address."""
        self._stack = contextlib.ExitStack()
        listener = self._stack.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        for _ in range(4):
            waiting = self._stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        return '{}:{}'.format(*listener.getsockname())

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the port."""
        self._stack.close()


@final
class ResettingAddress:
    """An address whose connections are reset once something was sent."""

    async def __aenter__(self) -> str:
        """Accept connections; return the address."""
        self._server = await asyncio.start_server(self._reset, '127.0.0.1', 0)
        return '{}:{}'.format(*self._server.sockets[0].getsockname())

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop accepting connections."""
        self._server.close()

    async def _reset(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(1)
        writer.transport.abort()

"""``turmericmast-edge``: an instance that serves callers by routes."""

import asyncio
import contextlib
from typing import Any, final

from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback
from tornado.netutil import bind_sockets

from turmericmast.cluster.records import EdgePhase, EdgeRecord
from turmericmast.edge.edge import Edge
from turmericmast.ids import Seconds
from turmericmast.machine import MachineSettings
from turmericmast.platform.dialect import PlatformDialect
from turmericmast.platform.directory import make_application
from turmericmast.platform.documents import DocumentFormat
from turmericmast.platform.settings import load_machine_settings
from turmericmast.programs.reload import Reloading
from turmericmast.programs.runner import Process, run_program, serve_metrics
from turmericmast.programs.watching import Watching
from turmericmast.web.curl import Curl
from turmericmast.web.edgedesk import EdgeDesk
from turmericmast.web.edgefront import EdgeFront
from turmericmast.web.newsroom import Newsroom
from turmericmast.web.probing import Prober
from turmericmast.wire.links import Links

CONNECT_TIMEOUT_MS = 250
"""Time to connect to a target; several round trips between regions."""
IDLE_SECONDS = 7
"""Seconds after which an idle connection to a target is not used again.

Targets close theirs after some 10 s and say so in whole seconds."""
SWEEP_MS = 500
MAX_HEADER_BYTES = 65_536
MAX_BODY_BYTES = 1_073_741_824
"""Above every limit of the routes, which decide."""
BODY_TIMEOUT = 60.0
TELLING_PAUSE = 0.3
"""Seconds until every directory has left this instance out."""
QUIET_PAUSE = 0.3
"""Seconds without a request after which the instance stops."""
GRACE_RESERVE = 0.4
"""Seconds of the grace that are left for stopping itself."""
STOP_PAUSE = 0.05
ROUTES_PATIENCE = 0.25
"""Seconds that callers wait at most for a start to learn the routes.

A third of the shortest time that a caller is known to have; later it would
take its request elsewhere."""
ROUTES_PAUSE = 0.01


@final
class Leaving:
    """Stops an edge without cutting off a request."""

    def __init__(
        self,
        process: Process[MachineSettings],
        desk: EdgeDesk,
        front: EdgeFront,
    ) -> None:
        """Stop ``front``."""
        self._process = process
        self._desk = desk
        self._front = front

    async def run(self, server: HTTPServer) -> None:
        """Let callers go elsewhere, and finish what they began here."""
        clock = self._process.clock
        began_at = clock.now()
        ends_at = began_at + self._process.settings.bounds.grace - GRACE_RESERVE
        self._desk.edge.leave(Seconds(ends_at))
        self._process.events.write('leaving', running=self._desk.running)
        quiet_since = began_at
        while clock.now() < ends_at:
            now = clock.now()
            if self._desk.running:
                quiet_since = now
            is_known = now - began_at > self._desk.edge.lifetime + TELLING_PAUSE
            if is_known and now - quiet_since > QUIET_PAUSE:
                break
            await asyncio.sleep(STOP_PAUSE)
        server.stop()
        self._front.idle.close(0)
        while self._desk.running and clock.now() < ends_at:
            await asyncio.sleep(STOP_PAUSE)


async def _main(
    process: Process[MachineSettings],
    stack: contextlib.ExitStack,
) -> None:
    settings = process.settings
    edge = Edge(
        EdgeRecord(
            settings.instance,
            process.incarnation,
            settings.listening.callers,
            settings.domain,
            settings.region,
            EdgePhase.serving,
            settings.listening.peers,
        ),
        settings.region_by_domain,
        settings.bounds,
    )
    desk = _make_desk(process, stack, edge)
    front = EdgeFront(desk)
    server = HTTPServer(
        front,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
        body_timeout=BODY_TIMEOUT,
    )
    host, _, port = settings.listening.callers.rpartition(':')
    sockets = bind_sockets(int(port), host)
    stack.callback(server.stop)
    _serve_pages(process, stack, edge, front)
    stack.enter_context(
        Watching(process, edge, DocumentFormat(), Links(process.node)),
    )
    stack.enter_context(Reloading(process, _keep))
    await desk.newsroom.open(settings.listening.peers)
    await _know_routes(process, edge)
    server.add_sockets(sockets)
    await process.stop.wait()
    await Leaving(process, desk, front).run(server)


async def _know_routes(
    process: Process[MachineSettings],
    edge: Edge,
) -> None:
    """Wait a moment for the routes, with which callers can be served.

    Callers that connect meanwhile wait in the queue of the kernel. That is
    better for them than a refusal: the routes are there after a few round
    trips, if a core member runs at all.
    """
    ends_at = process.clock.now() + ROUTES_PATIENCE
    while not edge.is_ready and process.clock.now() < ends_at:
        await asyncio.sleep(ROUTES_PAUSE)
    process.events.write(
        'serving',
        domain=edge.record.domain,
        has_routes=edge.is_ready,
    )


def _serve_pages(
    process: Process[MachineSettings],
    stack: contextlib.ExitStack,
    edge: Edge,
    front: EdgeFront,
) -> None:
    listening = process.settings.listening
    pages = make_application(edge, process.metrics)
    for address in (listening.directory, listening.readiness):
        stack.callback(_listen(HTTPServer(pages), address).stop)
    serve_metrics(process, stack, listening.peers.rpartition(':')[0])
    ticker = PeriodicCallback(front.close_idle, SWEEP_MS)
    ticker.start()
    stack.callback(ticker.stop)


def _make_desk(
    process: Process[MachineSettings],
    stack: contextlib.ExitStack,
    edge: Edge,
) -> EdgeDesk:
    curl = stack.enter_context(Curl(CONNECT_TIMEOUT_MS, IDLE_SECONDS))
    dialect = PlatformDialect()
    prober = Prober(
        curl,
        dialect,
        process.clock,
        process.metrics,
        process.events,
    )
    newsroom = Newsroom(edge, prober, process.clock, process.metrics)
    desk = EdgeDesk(
        edge=edge,
        clock=process.clock,
        curl=curl,
        dialect=dialect,
        prober=prober,
        newsroom=stack.enter_context(newsroom),
        metrics=process.metrics,
        events=process.events,
    )
    process.metrics.gauge('requests_running', lambda: desk.running)
    process.metrics.gauge('cluster_index', lambda: edge.index)
    return desk


def _listen(server: HTTPServer, address: str) -> HTTPServer:
    host, _, port = address.rpartition(':')
    server.listen(int(port), host)
    return server


def _keep(settings: Any) -> None:
    """Take nothing over: what may change is read where it is used."""


def main() -> None:
    """Run the program."""
    run_program(_main, load_machine_settings)

"""``turmericmast-edge``: an instance that serves callers by routes."""

import asyncio
import contextlib
from typing import Any, final

from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback

from turmericmast.cluster.records import EdgePhase, EdgeRecord
from turmericmast.edge.edge import Edge
from turmericmast.ids import Seconds
from turmericmast.instancesettings import InstanceSettings
from turmericmast.platform.documents import DocumentFormat
from turmericmast.platform.edgeapi import make_application
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.platform.settings import load_instance_settings
from turmericmast.programs.callerport import CallerPort
from turmericmast.programs.reload import Reloading
from turmericmast.programs.runner import Process, run_program, serve_metrics
from turmericmast.programs.watching import Watching
from turmericmast.web.crashwatch import CrashWatch, Tell
from turmericmast.web.curl import Curl
from turmericmast.web.edgedesk import EdgeDesk
from turmericmast.web.edgefront import EdgeFront
from turmericmast.web.newsroom import Newsroom
from turmericmast.web.probing import Prober
from turmericmast.wire.linkpool import LinkPool

CONNECT_TIMEOUT_MS = 250
"""Time to connect to a target; several round trips between regions."""
IDLE_SECONDS = 7
"""Seconds after which an idle connection to a target is not used again.

Targets close theirs after some 10 s and say so in whole seconds."""
SWEEP_MS = 500
TELLING_PAUSE = 0.3
"""Seconds until every directory has left this instance out."""
QUIET_PAUSE = 0.3
"""Seconds without a request after which the instance stops."""
GRACE_RESERVE = 0.4
"""Seconds of the grace that are left for stopping itself."""
STOP_PAUSE = 0.05


@final
class Leaving:
    """Stops an edge without cutting off a request."""

    def __init__(
        self,
        process: Process[InstanceSettings],
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
            is_known = (
                now - began_at > self._desk.edge.directory_ttl + TELLING_PAUSE
            )
            if is_known and now - quiet_since > QUIET_PAUSE:
                break
            await asyncio.sleep(STOP_PAUSE)
        server.stop()
        self._front.idle.close(0)
        while self._desk.running and clock.now() < ends_at:
            await asyncio.sleep(STOP_PAUSE)


async def _main(
    process: Process[InstanceSettings],
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
    watching = Watching(process, edge, DocumentFormat(), LinkPool(process.node))
    desk = _make_desk(process, stack, edge, watching.tell)
    front = EdgeFront(desk)
    port = stack.enter_context(CallerPort(process, edge, front))
    _serve_pages(process, stack, edge, front)
    stack.enter_context(watching)
    stack.enter_context(Reloading(process, _keep))
    await desk.newsroom.open(settings.listening.peers)
    await port.open()
    await process.stop.wait()
    await Leaving(process, desk, front).run(port.server)


def _serve_pages(
    process: Process[InstanceSettings],
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
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
    edge: Edge,
    tell: Tell,
) -> EdgeDesk:
    curl = stack.enter_context(Curl(CONNECT_TIMEOUT_MS, IDLE_SECONDS))
    dialect = PlatformHeaders()
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
        crashes=CrashWatch(edge, prober, process.clock, process.events, tell),
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
    run_program(_main, load_instance_settings)

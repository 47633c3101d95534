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
from turmericmast.web.crashdetection import CrashDetector, ReportToCore
from turmericmast.web.curl import Curl
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgefrontend import EdgeFrontend
from turmericmast.web.loadsharing import LoadSharing
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
        context: EdgeContext,
        front: EdgeFrontend,
    ) -> None:
        """Stop ``front``."""
        self._process = process
        self._context = context
        self._front = front

    async def run(self, server: HTTPServer) -> None:
        """Let callers go elsewhere, and finish what they began here."""
        clock = self._process.clock
        began_at = clock.now()
        ends_at = began_at + self._process.settings.bounds.grace - GRACE_RESERVE
        self._context.edge.leave(Seconds(ends_at))
        self._process.events.write('leaving', running=self._context.running)
        quiet_since = began_at
        while clock.now() < ends_at:
            now = clock.now()
            if self._context.running:
                quiet_since = now
            is_known = (
                now - began_at
                > self._context.edge.directory_ttl + TELLING_PAUSE
            )
            if is_known and now - quiet_since > QUIET_PAUSE:
                break
            await asyncio.sleep(STOP_PAUSE)
        server.stop()
        self._front.idle_connections.close_older(0)
        while self._context.running and clock.now() < ends_at:
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
    context = _make_context(process, stack, edge, watching.tell)
    front = EdgeFrontend(context)
    port = stack.enter_context(CallerPort(process, edge, front))
    _serve_pages(process, stack, edge, front)
    stack.enter_context(watching)
    stack.enter_context(Reloading(process, _keep))
    await context.load_sharing.open(settings.listening.peers)
    await port.open()
    await process.stop.wait()
    await Leaving(process, context, front).run(port.server)


def _serve_pages(
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
    edge: Edge,
    front: EdgeFrontend,
) -> None:
    listening = process.settings.listening
    pages = make_application(edge, process.metrics)
    for address in (listening.directory, listening.readiness):
        stack.callback(_listen(HTTPServer(pages), address).stop)
    serve_metrics(process, stack, listening.peers.rpartition(':')[0])
    ticker = PeriodicCallback(front.close_idle, SWEEP_MS)
    ticker.start()
    stack.callback(ticker.stop)


def _make_context(
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
    edge: Edge,
    tell: ReportToCore,
) -> EdgeContext:
    curl = stack.enter_context(Curl(CONNECT_TIMEOUT_MS, IDLE_SECONDS))
    header_format = PlatformHeaders()
    prober = Prober(
        curl,
        header_format,
        process.clock,
        process.metrics,
        process.events,
    )
    load_sharing = LoadSharing(edge, prober, process.clock, process.metrics)
    context = EdgeContext(
        edge=edge,
        clock=process.clock,
        curl=curl,
        header_format=header_format,
        prober=prober,
        load_sharing=stack.enter_context(load_sharing),
        crash_detector=CrashDetector(
            edge, prober, process.clock, process.events, tell
        ),
        metrics=process.metrics,
        events=process.events,
    )
    process.metrics.gauge('requests_running', lambda: context.running)
    process.metrics.gauge('cluster_index', lambda: edge.index)
    return context


def _listen(server: HTTPServer, address: str) -> HTTPServer:
    host, _, port = address.rpartition(':')
    server.listen(int(port), host)
    return server


def _keep(settings: Any) -> None:
    """Take nothing over: what may change is read where it is used."""


def main() -> None:
    """Run the program."""
    run_program(_main, load_instance_settings)

"""``turmericmast-edge``: an instance that routes requests to targets."""

import contextlib

from turmericmast.clock import LONG_AGO
from turmericmast.cluster.records import EdgePhase, EdgeRecord
from turmericmast.edge.edge import Edge
from turmericmast.instancesettings import InstanceSettings
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.platform.settings import load_instance_settings
from turmericmast.programs.clientlimits import limit_clients
from turmericmast.programs.coreclient import make_gate, make_watcher
from turmericmast.programs.edgepages import serve_edge_pages
from turmericmast.programs.edgewatch import watch_edge
from turmericmast.programs.gracefulshutdown import GracefulShutdown
from turmericmast.programs.requestport import open_ports
from turmericmast.programs.runner import Process, run_program
from turmericmast.programs.settingsreloader import SettingsReloader
from turmericmast.programs.versiongates import make_gates
from turmericmast.web.crashdetection import CrashDetector, ReportToCore
from turmericmast.web.curl import CurlClient
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgefrontend import EdgeFrontend, Origin
from turmericmast.web.loadsharing import LoadSharing
from turmericmast.web.probing import Prober

CONNECT_TIMEOUT_MS = 250
"""Milliseconds to connect to a target; several round trips between regions."""
MAX_IDLE_SECONDS = 7
"""Seconds after which an idle connection to a target is not reused.

Targets close idle connections after about 10 s, a time that they announce in
whole seconds."""


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
        # At the first start, no process has spent retries here before.
        LONG_AGO if settings.is_first_start else process.clock.now(),
        make_gates(process),
    )
    watcher = make_watcher(process, edge)
    context = _make_context(process, stack, edge, watcher.report_crash)
    context.allowance = make_gate(process, stack, watcher)
    guard = limit_clients(process, context.curl)
    watcher.on_routes = lambda: _use_routes(context)
    frontends = (
        EdgeFrontend(context),
        EdgeFrontend(context, Origin.instance),
    )
    ports = open_ports(process, stack, frontends, guard)
    serve_edge_pages(process, stack, edge, guard)
    watch_edge(stack, context, frontends)
    stack.enter_context(watcher)
    stack.enter_context(SettingsReloader(process, _apply_nothing))
    await context.load_sharing.open(settings.listening.peers)
    for request_port in ports:
        request_port.serve()
    await process.stop.wait()
    await GracefulShutdown(process, context, frontends).run(
        [port.server for port in ports]
    )


def _use_routes(context: EdgeContext) -> None:
    table = context.edge.route_table
    context.curl.link_pace.is_needed = table is not None and table.has_uploads
    context.first_routes.announce()
    context.load_sharing.check_now()


def _make_context(
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
    edge: Edge,
    report_crash: ReportToCore,
) -> EdgeContext:
    curl = stack.enter_context(
        CurlClient(
            CONNECT_TIMEOUT_MS,
            MAX_IDLE_SECONDS,
            process.metrics,
            process.settings.host_limits.link_rate,
        )
    )
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
            edge, prober, process.clock, process.events, report_crash
        ),
        metrics=process.metrics,
        events=process.events,
    )
    _show_statements(process, edge)
    process.metrics.gauge('requests_running', lambda: context.running)
    process.metrics.gauge('cluster_index', lambda: edge.index)
    process.metrics.gauge(
        'targets_unusable', lambda: len(edge.unusable_targets)
    )
    return context


def _show_statements(process: Process[InstanceSettings], edge: Edge) -> None:
    """Show as metrics how many targets want no requests."""
    process.metrics.gauge(
        'targets_leaving',
        lambda: sum(view.departure.has_begun for view in edge.views()),
    )
    process.metrics.gauge(
        'targets_paused',
        lambda: sum(
            view.pause.is_on(process.clock.now()) for view in edge.views()
        ),
    )


def _apply_nothing(settings: InstanceSettings) -> None:
    """Do nothing: users of settings that may change read them each time."""


def main() -> None:
    """Run ``turmericmast-edge``."""
    run_program(_main, load_instance_settings)

"""The pages of an edge: directory, readiness and metrics."""

import contextlib

from turmericmast.edge.edge import Edge
from turmericmast.instancesettings import InstanceSettings
from turmericmast.platform.edgeapi import make_application
from turmericmast.programs.pageports import serve_metrics, serve_pages
from turmericmast.programs.runner import Process
from turmericmast.web.connectionguard import ConnectionGuard
from turmericmast.web.fleetpages import edge_pages


def serve_edge_pages(
    process: Process[InstanceSettings],
    stack: contextlib.ExitStack,
    edge: Edge,
    guard: ConnectionGuard | None,
) -> None:
    """Serve directory, readiness and metrics until ``stack`` is closed."""
    listening = process.settings.listening
    application = make_application(edge, process.metrics, process.clock)
    for address in (listening.directory, listening.readiness):
        serve_pages(stack, application, address, guard=guard)
    host = listening.peers.rpartition(':')[0]
    serve_metrics(process, stack, host, edge_pages(edge, process.clock), guard)

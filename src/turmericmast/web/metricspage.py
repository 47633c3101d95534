"""Serve the metrics of a process over HTTP."""

from collections.abc import Iterable
from typing import Any, final

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from turmericmast.metrics import Metrics
from turmericmast.web.connectionguard import ConnectionGuard
from turmericmast.web.pageserver import make_page_server

METRICS_PATH = '/metrics'
"""Path of the metrics page of edges, core members and ``--metrics_port``."""


@final
class MetricsPage(RequestHandler):
    """Serves counters, gauges and histograms in the Prometheus text format."""

    def initialize(self, metrics: Metrics) -> None:
        """Serve the metrics in ``metrics``."""
        self.metrics = metrics

    def get(self) -> None:
        """Send the current values as text."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.metrics.render())


def make_metrics_server(
    metrics: Metrics,
    pages: Iterable[Any],
    guard: ConnectionGuard | None = None,
) -> HTTPServer:
    """Return a server of the metrics page, which does not listen yet.

    ``pages`` are further paths with their handlers and options.
    """
    return make_page_server(
        Application(
            [(METRICS_PATH, MetricsPage, {'metrics': metrics}), *pages],
            log_function=skip_request_log,
        ),
        guard=guard,
    )


def skip_request_log(page: RequestHandler) -> None:
    """Log nothing, since one line for each request would flood the log.

    Some handlers count their requests in the metrics instead.
    """

"""The metrics of a process over HTTP."""

from typing import final

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from turmericmast.metrics import Metrics

METRICS_PATH = '/metrics'


@final
class MetricsPage(RequestHandler):
    """Counters, gauges and histograms in the Prometheus text form."""

    def initialize(self, metrics: Metrics) -> None:
        """Show ``metrics``."""
        self.metrics = metrics

    def get(self) -> None:
        """Return them as text."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.metrics.render())


def make_metrics_server(metrics: Metrics) -> HTTPServer:
    """Return a server for the metrics alone; ``listen`` opens it."""
    return HTTPServer(
        Application(
            [(METRICS_PATH, MetricsPage, {'metrics': metrics})],
            log_function=skip_request_log,
        ),
    )


def skip_request_log(page: RequestHandler) -> None:
    """Leave a request to the counters: a line for each would be too much."""

"""What the platform's calls to cores and edges have in common."""

from tornado.web import RequestHandler

from turmericmast.metrics import Metrics


class Counters(RequestHandler):
    """Metrics."""

    def initialize(self, metrics: Metrics) -> None:
        """Keep the metrics."""
        self.metrics = metrics

    def get(self) -> None:
        """Return them as text."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.metrics.render())


def log_nothing(page: RequestHandler) -> None:
    """Leave a request to the counters: a line for each would be too much."""

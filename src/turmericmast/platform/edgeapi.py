"""The platform's calls to an edge: its directory and its readiness."""

import http
import json
from typing import TYPE_CHECKING

from tornado.web import Application, RequestHandler

from turmericmast.ids import DomainId, RegionId
from turmericmast.metrics import Metrics
from turmericmast.web.metricspage import (
    METRICS_PATH,
    MetricsPage,
    log_nothing,
)

if TYPE_CHECKING:
    from turmericmast.edge.edge import Edge


class _Page(RequestHandler):
    """A question that the edge answers."""

    def initialize(self, edge: 'Edge', metrics: Metrics) -> None:
        """Keep the edge."""
        self.edge = edge
        self.metrics = metrics


class Resolve(_Page):
    """Where callers should connect."""

    def get(self) -> None:
        """Return addresses, nearest first."""
        answer = self.edge.directory(
            self.get_query_argument('name', ''),
            RegionId(self.get_query_argument('region', '')),
            DomainId(self.get_query_argument('zone', '')),
        )
        self.metrics.count('directory_answers')
        if not answer.addresses:
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self.set_header('Content-Type', 'application/json')
        self.finish(
            json.dumps(
                {
                    'addresses': list(answer.addresses),
                    'ttl_s': answer.lifetime,
                },
            ),
        )


class Ready(_Page):
    """Whether new callers should come."""

    def get(self) -> None:
        """Answer 200 when they should."""
        if not self.edge.is_ready:
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)


def make_application(edge: 'Edge', metrics: Metrics) -> Application:
    """Return the pages of an edge."""
    parts = {'edge': edge, 'metrics': metrics}
    return Application(
        [
            ('/-/resolve', Resolve, parts),
            ('/-/ready', Ready, parts),
            (METRICS_PATH, MetricsPage, {'metrics': metrics}),
        ],
        log_function=log_nothing,
    )

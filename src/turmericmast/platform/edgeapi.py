"""HTTP API of an edge, for its directory and its readiness."""

import http
import json
from typing import TYPE_CHECKING

from tornado.web import Application, RequestHandler

from turmericmast.clock import Clock
from turmericmast.ids import ApiKey, DomainId, RegionId
from turmericmast.metrics import Metrics
from turmericmast.platform.headers import KEY_HEADER
from turmericmast.web.metricspage import (
    METRICS_PATH,
    MetricsPage,
    skip_request_log,
)

if TYPE_CHECKING:
    from turmericmast.edge.edge import Edge


class _Page(RequestHandler):
    """Base of the request handlers of an edge."""

    def initialize(self, edge: 'Edge', metrics: Metrics, clock: Clock) -> None:
        """Store the objects that every handler uses."""
        self.edge = edge
        self.metrics = metrics
        self.clock = clock


class Resolve(_Page):
    """The directory: addresses that callers should connect to."""

    def get(self) -> None:
        """Return the addresses for a caller, nearest first.

        Status 503 if there are none.
        """
        answer = self.edge.resolve(
            self.get_query_argument('name', ''),
            RegionId(self.get_query_argument('region', '')),
            DomainId(self.get_query_argument('zone', '')),
            self.clock.now(),
            tuple(map(ApiKey, self.request.headers.get_list(KEY_HEADER))),
        )
        self.metrics.count('directory_answers')
        if not answer.addresses:
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self.set_header('Content-Type', 'application/json')
        self.finish(
            json.dumps(
                {
                    'addresses': list(answer.addresses),
                    'ttl_s': answer.ttl,
                },
            ),
        )


class Ready(_Page):
    """The readiness check: whether new callers should connect."""

    def get(self) -> None:
        """Answer 200 if the edge is ready, else 503."""
        if not self.edge.is_ready(self.clock.now()):
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)


def make_application(
    edge: 'Edge', metrics: Metrics, clock: Clock
) -> Application:
    """Return the HTTP application of an edge."""
    shared = {'edge': edge, 'metrics': metrics, 'clock': clock}
    return Application(
        [
            ('/-/resolve', Resolve, shared),
            ('/-/ready', Ready, shared),
            (METRICS_PATH, MetricsPage, {'metrics': metrics}),
        ],
        log_function=skip_request_log,
    )

"""HTTP API of a core member, for reports of targets and for operators."""

import http
import json
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, cast

from returns.result import Failure, Result, Success
from tornado.web import RequestHandler

from turmericmast.exceptions import (
    ConflictError,
    OvertakenError,
    RefusedError,
    SettingsError,
    TurmericmastError,
)
from turmericmast.ids import DomainId, Index, ServiceId, TargetId
from turmericmast.jsontext import MAX_ITEMS, has_many_items
from turmericmast.metrics import Metrics
from turmericmast.numerals import parse_whole
from turmericmast.platform.documents import parse_report
from turmericmast.platform.rolloutdocuments import (
    parse_rollout_order,
    rollout_document,
)
from turmericmast.web.datedrequests import DatedApplication
from turmericmast.web.metricspage import (
    METRICS_PATH,
    MetricsPage,
    skip_request_log,
)

if TYPE_CHECKING:
    from turmericmast.programs.clusteroperations import ClusterOperations

MAX_REPORT_BYTES = 65_536
"""Largest body of a report or a small order, in bytes.

A report of a target has some 300."""
MAX_ROUTES_BYTES = 4_194_304
"""Largest body with routes, in bytes."""
CONFIG_PATH = '/-/config'
_STATUS_BY_ERROR = MappingProxyType(
    {
        SettingsError: http.HTTPStatus.BAD_REQUEST,
        ConflictError: http.HTTPStatus.PRECONDITION_FAILED,
        RefusedError: http.HTTPStatus.SERVICE_UNAVAILABLE,
        OvertakenError: http.HTTPStatus.TEMPORARY_REDIRECT,
    },
)
"""Statuses by class of error; all others get 503, since a retry may succeed."""


KNOWN_ARGUMENT = 'known'
"""Query argument of a redirection: an index that its sender had seen."""


class _Page(RequestHandler):
    """Base of the request handlers of a core member.

    The names of its subclasses, in lower case, are values of a metric label.
    """

    def initialize(
        self, operations: 'ClusterOperations', metrics: Metrics
    ) -> None:
        """Store the objects that every handler uses."""
        self.operations = operations
        self.metrics = metrics

    def answer(
        self,
        outcome: Result[Any, TurmericmastError],
        document: Any = None,
        conflict: http.HTTPStatus = http.HTTPStatus.PRECONDITION_FAILED,
    ) -> None:
        """Send ``document`` as JSON, or the error of a failed request.

        ``conflict`` is the status of a ``ConflictError``.
        """
        status = (
            http.HTTPStatus.OK
            if isinstance(outcome, Success)
            else _STATUS_BY_ERROR.get(
                type(outcome.failure()),
                http.HTTPStatus.SERVICE_UNAVAILABLE,
            )
        )
        if status is http.HTTPStatus.PRECONDITION_FAILED:
            status = conflict
        self.metrics.count(
            'orders',
            page=type(self).__name__.lower(),
            status=str(status.value),
        )
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        if isinstance(outcome, Success):
            self.finish(json.dumps(document or {}))
            return
        error = outcome.failure()
        if isinstance(error, OvertakenError):
            address = self.operations.address
            path = f'{self.request.path}?{KNOWN_ARGUMENT}={error.index}'
            self.set_header('Location', f'http://{address}{path}')
        self.finish(json.dumps({'error': error.show()}))

    def prepare(self) -> None:
        """Refuse a request with a malformed index."""
        text = self.get_query_argument(KNOWN_ARGUMENT, '0')
        if parse_whole(text) is None:
            self.answer(
                Failure(
                    SettingsError(
                        f'{KNOWN_ARGUMENT}: write a whole number',
                        step='read query',
                        hint='follow the redirection, or leave it out',
                    )
                )
            )

    def known_index(self) -> Index:
        """Return an index that had been applied before the request was sent.

        A client that follows a redirection shows by its argument that it had
        seen a later one.
        """
        text = self.get_query_argument(KNOWN_ARGUMENT, '0')
        application = cast('DatedApplication', self.application)
        return max(
            application.known_before(self.request),
            Index(parse_whole(text) or 0),
        )


class Instances(_Page):
    """The record of a target, kept up to date by its reports."""

    async def put(self, target: str) -> None:
        """Record the report of a target."""
        report = parse_report(target, self.request.body)
        if not isinstance(report, Success):
            self.answer(report)
            return
        reported = await self.operations.report_target(report.unwrap())
        address = reported.value_or('')
        # The platform's name for the address to send the next reports to.
        self.answer(reported, {'heartbeat_address': address} if address else {})

    async def delete(self, target: str) -> None:
        """Remove a target."""
        self.answer(
            await self.operations.remove_target(
                TargetId(target), self.known_index()
            ),
        )


class Routes(_Page):
    """The route document in force."""

    async def put(self) -> None:
        """Replace the route document."""
        if has_many_items(self.request.body):
            self.answer(Failure(_too_many_items()))
            return
        self.answer(await self.operations.propose_routes(self.request.body))

    async def get(self) -> None:
        """Return the route document as the operator sent it."""
        source = await self.operations.read_routes()
        if isinstance(source, Success):
            self.set_header('Content-Type', 'application/json')
            self.finish(source.unwrap())
        else:
            self.answer(source)


class Evacuations(_Page):
    """Failure domains whose targets get no requests."""

    async def post(self, domain: str) -> None:
        """Evacuate a failure domain."""
        self.answer(
            await self.operations.set_evacuation(
                DomainId(domain), evacuated=True, known=self.known_index()
            ),
        )

    async def delete(self, domain: str) -> None:
        """Return a failure domain to service."""
        self.answer(
            await self.operations.set_evacuation(
                DomainId(domain), evacuated=False, known=self.known_index()
            ),
        )


class Rollouts(_Page):
    """Orders to move services to other versions."""

    async def post(self) -> None:
        """Begin a rollout, or acknowledge one that was ordered before."""
        parsed = parse_rollout_order(self.request.body)
        if not isinstance(parsed, Success):
            self.answer(parsed)
            return
        ordered = await self.operations.rollouts.order(parsed.unwrap())
        self.answer(ordered, conflict=http.HTTPStatus.CONFLICT)


class Rollout(_Page):
    """The newest rollout of a service."""

    async def get(self, service: str) -> None:
        """Return its state; status 404 if none was ever ordered."""
        shown = await self.operations.rollouts.show(ServiceId(service))
        if not isinstance(shown, Success):
            self.answer(shown)
            return
        if not shown.unwrap().order:
            self.set_status(http.HTTPStatus.NOT_FOUND)
            self.finish(json.dumps({'error': 'no rollout was ordered'}))
            return
        self.answer(shown, rollout_document(shown.unwrap()))


def _too_many_items() -> SettingsError:
    return SettingsError(
        f'more than {MAX_ITEMS} items',
        step='read routes',
        hint='send fewer routes, services or accounts',
    )


def body_limit(path: str) -> int:
    """Return the largest body of a request for a path, in bytes."""
    return MAX_ROUTES_BYTES if path == CONFIG_PATH else MAX_REPORT_BYTES


def make_application(
    operations: 'ClusterOperations', metrics: Metrics
) -> DatedApplication:
    """Return the HTTP application of a core member."""
    shared = {'operations': operations, 'metrics': metrics}
    return DatedApplication(
        [
            ('/-/instances/([^/]+)', Instances, shared),
            (CONFIG_PATH, Routes, shared),
            ('/-/evacuations/([^/]+)', Evacuations, shared),
            ('/-/rollouts', Rollouts, shared),
            ('/-/rollouts/([^/]+)', Rollout, shared),
            (METRICS_PATH, MetricsPage, {'metrics': metrics}),
        ],
        operations.committer.known_index,
        log_function=skip_request_log,
    )

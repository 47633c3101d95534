"""The platform's calls to core members: targets' reports, operators' orders."""

import http
import json
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

from returns.result import Result, Success
from tornado.web import Application, RequestHandler

from turmericmast.exceptions import (
    ConflictError,
    RefusedError,
    SettingsError,
    TurmericmastError,
)
from turmericmast.ids import DomainId, TargetId
from turmericmast.metrics import Metrics
from turmericmast.platform.documents import parse_report
from turmericmast.web.metricspage import (
    METRICS_PATH,
    MetricsPage,
    log_nothing,
)

if TYPE_CHECKING:
    from turmericmast.programs.clusterdesk import ClusterDesk

_STATUS_BY_ERROR = MappingProxyType(
    {
        SettingsError: http.HTTPStatus.BAD_REQUEST,
        ConflictError: http.HTTPStatus.PRECONDITION_FAILED,
        RefusedError: http.HTTPStatus.SERVICE_UNAVAILABLE,
    },
)
"""Whatever stands not here may succeed when it is asked again."""


class _Page(RequestHandler):
    """A call that the desk answers."""

    def initialize(self, desk: 'ClusterDesk', metrics: Metrics) -> None:
        """Keep the desk."""
        self.desk = desk
        self.metrics = metrics

    def answer(
        self,
        outcome: Result[Any, TurmericmastError],
        document: Any = None,
    ) -> None:
        """Send what came of an order."""
        status = (
            http.HTTPStatus.OK
            if isinstance(outcome, Success)
            else _STATUS_BY_ERROR.get(
                type(outcome.failure()),
                http.HTTPStatus.SERVICE_UNAVAILABLE,
            )
        )
        self.metrics.count(
            'orders',
            page=type(self).__name__.lower(),
            status=str(status.value),
        )
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        if isinstance(outcome, Success):
            self.finish(json.dumps(document or {}))
        else:
            self.finish(json.dumps({'error': outcome.failure().show()}))


class Instances(_Page):
    """What targets say of themselves."""

    async def put(self, target: str) -> None:
        """Take a report."""
        report = parse_report(target, self.request.body)
        if not isinstance(report, Success):
            self.answer(report)
            return
        taken = await self.desk.report(report.unwrap())
        address = taken.value_or('')
        # The name is the platform's: where to send the next reports.
        self.answer(taken, {'heartbeat_address': address} if address else {})

    async def delete(self, target: str) -> None:
        """Let a target go."""
        self.answer(await self.desk.remove(TargetId(target)))


class Routes(_Page):
    """The route document."""

    async def put(self) -> None:
        """Replace it."""
        self.answer(await self.desk.propose(self.request.body))

    async def get(self) -> None:
        """Return it as it was sent."""
        source = await self.desk.read()
        if isinstance(source, Success):
            self.set_header('Content-Type', 'application/json')
            self.finish(source.unwrap())
        else:
            self.answer(source)


class Evacuations(_Page):
    """Failure domains that get no work."""

    async def post(self, domain: str) -> None:
        """Empty one."""
        self.answer(
            await self.desk.evacuate(DomainId(domain), evacuated=True),
        )

    async def delete(self, domain: str) -> None:
        """Take one back."""
        self.answer(
            await self.desk.evacuate(DomainId(domain), evacuated=False),
        )


def make_application(desk: 'ClusterDesk', metrics: Metrics) -> Application:
    """Return the pages of a core member."""
    parts = {'desk': desk, 'metrics': metrics}
    return Application(
        [
            ('/-/instances/([^/]+)', Instances, parts),
            ('/-/config', Routes, parts),
            ('/-/evacuations/([^/]+)', Evacuations, parts),
            (METRICS_PATH, MetricsPage, {'metrics': metrics}),
        ],
        log_function=log_nothing,
    )

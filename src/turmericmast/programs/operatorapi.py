"""The HTTP pages for operators."""

import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, final

from returns.result import Failure, Result, Success
from tornado.web import Application, RequestHandler

from turmericmast.exceptions import RefusedError, TurmericmastError, WireError
from turmericmast.fleet.explanation import explain
from turmericmast.fleet.fleet import FleetVersion
from turmericmast.ids import TargetId
from turmericmast.programs.operatordocuments import (
    members_document,
    placement_document,
    version_document,
)
from turmericmast.programs.operatorrequests import (
    bad_field,
    read_lift,
    read_outage,
    read_proposal,
)
from turmericmast.region.commands import RegionCommand, SetOutage
from turmericmast.region.records import OutageKind
from turmericmast.web.metricspage import MetricsPage, skip_request_log

if TYPE_CHECKING:
    from turmericmast.programs.control import Control

MAX_NAMES_SHOWN = 20


class _Page(RequestHandler):
    """A page that only the leader answers."""

    def initialize(self, control: 'Control') -> None:
        """Serve what ``control`` holds."""
        self.control = control

    def prepare(self) -> None:
        """Send operators on to the leader."""
        if self.control.group.is_leader:
            return
        leader = self.control.group.replica.leader
        found = self.control.process.settings.find_control_member(leader)
        self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish(
            {
                'error': 'this replica does not lead its group',
                'leader': found.http if found else '',
                'hint': 'ask the leader, or any replica again in a second',
            },
        )

    def reply(self, answer: Result[Any, TurmericmastError]) -> None:
        """Send a document, or the error that stands in its place."""
        if isinstance(answer, Success):
            self.finish(answer.unwrap())
            return
        error = answer.failure()
        is_open = isinstance(error, WireError)
        self.set_status(
            HTTPStatus.SERVICE_UNAVAILABLE if is_open else HTTPStatus.CONFLICT
        )
        self.finish(
            {
                'error': error.message,
                'step': error.step,
                'peer': error.peer,
                'hint': error.hint,
            },
        )

    def document(self) -> Result[dict[str, Any], TurmericmastError]:
        """Return the JSON object in the request."""
        try:
            parsed = json.loads(self.request.body)
        except ValueError as error:
            return Failure(
                bad_field('body', f'correct the JSON syntax: {error}')
            )
        if not isinstance(parsed, dict):
            return Failure(bad_field('body', 'write a JSON object'))
        return Success(parsed)


@final
class _FleetPage(_Page):
    """The fleet document: ``GET`` reads it, ``POST`` proposes a change."""

    def get(self) -> None:
        """Return the current version."""
        region = self.control.region
        version = self.get_query_argument('version', '')
        wanted = int(version) if version.isdecimal() else 0
        self.finish(
            version_document(self.control, wanted or None)
            | {'document': json.loads(region.fleet.current.document)},
        )

    async def post(self) -> None:
        """Propose a change against a version."""
        settings = self.control.process.settings
        if settings.ordering_region != settings.region:
            self.reply(
                Failure(
                    RefusedError(
                        'this region does not order changes of the fleet',
                        step='propose',
                        hint=f'ask region {settings.ordering_region}',
                    ),
                ),
            )
            return
        command = self.document().bind(read_proposal)
        if isinstance(command, Success):
            answer = await self.control.change(command.unwrap())
            self.reply(answer.map(self._describe))
        else:
            self.reply(command)

    def _describe(self, made: FleetVersion) -> dict[str, Any]:
        return version_document(self.control, made.version)


@final
class _ChangePage(_Page):
    """Changes that a region decides by itself."""

    async def post(self, what: str) -> None:
        """Take out, return, or lift a quarantine."""
        read = read_lift if what == 'lift' else read_outage
        command = self.document().bind(read).bind(self._check_known)
        if not isinstance(command, Success):
            self.reply(command)
            return
        answer = await self.control.change(command.unwrap())
        if isinstance(answer, Success):
            self._show(command.unwrap())
            index = self.control.region.view.index
            in_force = await self.control.wait_in_force(index)
            self.reply(Success({'done': True, 'in_force': in_force}))
        else:
            self.reply(answer)

    def _show(self, command: RegionCommand) -> None:
        if isinstance(command, SetOutage):
            self.control.process.events.write(
                'outage',
                what=command.kind.name,
                name=command.name,
                out=command.out,
            )

    def _check_known(
        self,
        command: RegionCommand,
    ) -> Result[RegionCommand, TurmericmastError]:
        settings = self.control.process.settings
        if not isinstance(command, SetOutage):
            return Success(command)
        known = (
            settings.own_region.domains
            if command.kind is OutageKind.domain
            else tuple(self.control.region.view.placement_by_target)
        )
        if command.name in known or not command.out:
            return Success(command)
        shown = ', '.join(sorted(map(str, known))[:MAX_NAMES_SHOWN])
        return Failure(
            bad_field(
                'name', f'{command.name} is not known here; use one of {shown}'
            ),
        )


@final
class _ExplainPage(_Page):
    """What decides each value for a service or a target."""

    def get(self) -> None:
        """Return each value with its origin and reason."""
        region = self.control.region
        name = self.get_query_argument('name')
        placement = region.view.placement_by_target.get(TargetId(name))
        service = placement.spec.service if placement else name
        subject = {
            'service': service,
            'tenant': self.get_query_argument('tenant', ''),
            'route': self.get_query_argument('route', ''),
        }
        reasons = explain(region.fleet.parsed, subject)
        self.finish(
            {
                'service': service,
                'target': placement_document(placement) if placement else None,
                'values': [
                    {
                        'name': one.name,
                        'value': one.value,
                        'origin': one.origin,
                        'reason': one.reason,
                    }
                    for one in reasons
                ],
            },
        )


@final
class _StatusPage(_Page):
    """The state of the region."""

    def get(self) -> None:
        """Return entries, targets, outages and quarantined requests."""
        control = self.control
        view = control.region.view
        self.finish(
            {
                'region': control.region.region,
                'leader': control.group.config.own_id,
                'members': members_document(control),
                'fleet': version_document(control, None),
                'entries': [
                    {
                        'instance': session.instance,
                        'domain': session.domain,
                        'http': session.http,
                        'phase': session.phase.name,
                        'targets': len(view.owned_by(session.instance)),
                    }
                    for session in view.session_by_instance.values()
                ],
                'targets': [
                    placement_document(placement)
                    | {
                        'out': view.is_target_out(
                            placement.spec.target,
                            placement.spec.domain,
                        ),
                    }
                    for placement in view.placement_by_target.values()
                ],
                'outages': [
                    {
                        'kind': one.kind.name,
                        'name': one.name,
                        'reason': one.reason,
                    }
                    for one in view.outage_by_name.values()
                ],
                'quarantined': [
                    {
                        'fingerprint': one.fingerprint,
                        'crashes': one.crashes,
                        'until_ms': one.until_ms,
                    }
                    for one in view.suspicion_by_fingerprint.values()
                    if one.is_quarantined
                ],
            },
        )


def make_application(control: 'Control') -> Application:
    """Return the pages of a control replica."""
    given = {'control': control}
    return Application(
        [
            ('/v1/fleet', _FleetPage, given),
            ('/v1/status', _StatusPage, given),
            ('/v1/explain', _ExplainPage, given),
            ('/v1/(outage|lift)', _ChangePage, given),
            ('/-/metrics', MetricsPage, {'metrics': control.process.metrics}),
        ],
        log_function=skip_request_log,
    )

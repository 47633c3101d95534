"""HTTP API of a control member, for operators."""

import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, final

from returns.result import Failure, Result, Success
from tornado.web import Application, RequestHandler

from turmericmast.exceptions import RefusedError, TurmericmastError, WireError
from turmericmast.fleet.explanation import explain
from turmericmast.fleet.fleet import FleetVersion
from turmericmast.ids import TargetId
from turmericmast.jsontext import parse_json
from turmericmast.numerals import parse_whole
from turmericmast.programs.operatordocuments import (
    members_document,
    placement_document,
    version_document,
)
from turmericmast.programs.operatorrequests import (
    invalid_field_error,
    parse_lift,
    parse_outage,
    parse_proposal,
)
from turmericmast.region.commands import RegionCommand, SetOutage
from turmericmast.region.records import OutageKind
from turmericmast.web.metricspage import MetricsPage, skip_request_log

if TYPE_CHECKING:
    from turmericmast.programs.control import Control

MAX_NAMES_SHOWN = 20
"""Most known names that the error about an unknown name lists."""


class _Page(RequestHandler):
    """Base of the handlers that serve only on the control group's leader."""

    def initialize(self, control: 'Control') -> None:
        """Serve the region of ``control``."""
        self.control = control

    def prepare(self) -> None:
        """Answer 503 with the leader's address if this member does not lead."""
        if self.control.group.is_leader:
            return
        leader = self.control.group.replica.leader
        leader_settings = self.control.process.settings.find_control_member(
            leader
        )
        self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish(
            {
                'error': 'this member is not the leader of its control group',
                'leader': leader_settings.http if leader_settings else '',
                'hint': 'send the request to the leader, '
                'or retry any member in a second',
            },
        )

    def send_result(self, outcome: Result[Any, TurmericmastError]) -> None:
        """Send a JSON document, or the error of a failed request.

        A ``WireError`` leaves open whether a change was committed. It gets
        503, since the change can be sent again; all others get 409.
        """
        if isinstance(outcome, Success):
            self.finish(outcome.unwrap())
            return
        error = outcome.failure()
        is_outcome_unknown = isinstance(error, WireError)
        self.set_status(
            HTTPStatus.SERVICE_UNAVAILABLE
            if is_outcome_unknown
            else HTTPStatus.CONFLICT
        )
        self.finish(
            {
                'error': error.message,
                'step': error.step,
                'peer': error.peer,
                'hint': error.hint,
            },
        )

    def parse_body(self) -> Result[dict[str, Any], TurmericmastError]:
        """Return the JSON object in the body of the request."""
        parsed = parse_json(self.request.body)
        if not isinstance(parsed, Success):
            return Failure(
                invalid_field_error(
                    'body', f'correct the JSON syntax: {parsed.failure()}'
                )
            )
        document = parsed.unwrap()
        if not isinstance(document, dict):
            return Failure(invalid_field_error('body', 'write a JSON object'))
        return Success(document)


@final
class _FleetPage(_Page):
    """Reads the fleet document and its rollout, and takes proposals."""

    def get(self) -> None:
        """Return the current document and the state of a version.

        The query argument ``version`` selects one, by default the current.
        """
        region = self.control.region
        argument = self.get_query_argument('version', '')
        version = parse_whole(argument)
        self.finish(
            version_document(self.control, version or None)
            | {'document': json.loads(region.fleet.current.document)},
        )

    async def post(self) -> None:
        """Propose a document made from a certain version."""
        settings = self.control.process.settings
        if settings.ordering_region != settings.region:
            self.send_result(
                Failure(
                    RefusedError(
                        'this region does not order fleet changes',
                        step='propose',
                        hint=f'propose it in region {settings.ordering_region}',
                    ),
                ),
            )
            return
        command = self.parse_body().bind(parse_proposal)
        if isinstance(command, Success):
            answer = await self.control.change(command.unwrap())
            self.send_result(answer.map(self._describe))
        else:
            self.send_result(command)

    def _describe(self, fleet_version: FleetVersion) -> dict[str, Any]:
        return version_document(self.control, fleet_version.version)


@final
class _ChangePage(_Page):
    """Sets outages and lifts quarantines, which concern this region only."""

    async def post(self, operation: str) -> None:
        """Set or end an outage, or lift a quarantine.

        Answers once every entry has applied the change, or when waiting for
        that times out.
        """
        parse = parse_lift if operation == 'lift' else parse_outage
        command = self.parse_body().bind(parse).bind(self._validate_name)
        if not isinstance(command, Success):
            self.send_result(command)
            return
        answer = await self.control.change(command.unwrap())
        if isinstance(answer, Success):
            self._log_outage(command.unwrap())
            index = self.control.region.view.index
            in_force = await self.control.wait_until_in_force(index)
            self.send_result(Success({'done': True, 'in_force': in_force}))
        else:
            self.send_result(answer)

    def _log_outage(self, command: RegionCommand) -> None:
        if isinstance(command, SetOutage):
            self.control.process.events.write(
                'outage',
                what=command.kind.name,
                name=command.name,
                out=command.out,
            )

    def _validate_name(
        self,
        command: RegionCommand,
    ) -> Result[RegionCommand, TurmericmastError]:
        settings = self.control.process.settings
        if not isinstance(command, SetOutage):
            return Success(command)
        known_names = (
            settings.own_region.domains
            if command.kind is OutageKind.domain
            else tuple(self.control.region.view.placement_by_target)
        )
        if command.name in known_names or not command.out:
            return Success(command)
        shown_names = ', '.join(sorted(map(str, known_names))[:MAX_NAMES_SHOWN])
        return Failure(
            invalid_field_error(
                'name',
                f'{command.name} is not known here; use one of {shown_names}',
            ),
        )


@final
class _ExplainPage(_Page):
    """Explains where the fleet values of a service or target come from."""

    def get(self) -> None:
        """Return each value with its origin and reason.

        The query argument ``name`` is a target or, if there is no such target,
        a service.
        """
        region = self.control.region
        name = self.get_query_argument('name')
        placement = region.view.placement_by_target.get(TargetId(name))
        service = placement.spec.service if placement else name
        subject = {
            'service': service,
            'tenant': self.get_query_argument('tenant', ''),
            'route': self.get_query_argument('route', ''),
        }
        explanations = explain(region.fleet.parsed, subject)
        self.finish(
            {
                'service': service,
                'target': placement_document(placement) if placement else None,
                'values': [
                    {
                        'name': explanation.name,
                        'value': explanation.value,
                        'origin': explanation.origin,
                        'reason': explanation.reason,
                    }
                    for explanation in explanations
                ],
            },
        )


@final
class _StatusPage(_Page):
    """Shows the state of the region and of its control group."""

    def get(self) -> None:
        """Return members, entries, targets, outages and quarantines."""
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
                        'kind': outage.kind.name,
                        'name': outage.name,
                        'reason': outage.reason,
                    }
                    for outage in view.outage_by_name.values()
                ],
                'quarantined': [
                    {
                        'fingerprint': suspicion.fingerprint,
                        'crashes': suspicion.crashes,
                        'until_ms': suspicion.until_ms,
                    }
                    for suspicion in view.suspicion_by_fingerprint.values()
                    if suspicion.is_quarantined
                ],
            },
        )


def make_application(control: 'Control') -> Application:
    """Return the web application of a control member."""
    page_arguments = {'control': control}
    return Application(
        [
            ('/v1/fleet', _FleetPage, page_arguments),
            ('/v1/status', _StatusPage, page_arguments),
            ('/v1/explain', _ExplainPage, page_arguments),
            ('/v1/(outage|lift)', _ChangePage, page_arguments),
            ('/-/metrics', MetricsPage, {'metrics': control.process.metrics}),
        ],
        log_function=skip_request_log,
    )

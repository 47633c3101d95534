"""Parsers of the platform's route documents and target reports."""

import dataclasses
import string
from collections.abc import Callable
from typing import TypeVar, final

from returns.result import Failure, Result, Success

from turmericmast.account.account import Account
from turmericmast.account.table import AccountTable
from turmericmast.addresses import MAX_PORT, is_unicast_address
from turmericmast.cluster.records import (
    MAX_SEQUENCE,
    MAX_SLOTS,
    TargetPhase,
    TargetRecord,
)
from turmericmast.exceptions import SettingsError
from turmericmast.fields import FieldError, Fields
from turmericmast.ids import (
    ApiKey,
    Born,
    DomainId,
    RegionId,
    RouteName,
    Seconds,
    ServiceId,
    TargetId,
    TargetVersion,
    TenantId,
    Version,
)
from turmericmast.jsontext import parse_json, repeated_keys
from turmericmast.names import MAX_NAME_LENGTH, is_token
from turmericmast.route.document import (
    Branch,
    Route,
    RouteDocument,
    RouteFormat,
    RouteKind,
    RouteLimits,
    ServiceConfig,
)

Parsed = TypeVar('Parsed')

HEXADECIMAL = 16
"""Base of the numbers that versions are written in."""
MAX_VERSION_DIGITS = 15
"""Digits of a version; the log holds 63 bits."""


@final
class DocumentFormat(RouteFormat):
    """Reads route documents in JSON.

    Times are in seconds, versions are hexadecimal strings.
    """

    def parse(self, source: bytes) -> Result[RouteDocument, SettingsError]:
        """Return the route document in JSON text, or the first error in it."""
        return _read(source, _document).alt(
            lambda fault: SettingsError(
                fault,
                step='read routes',
                hint='nothing was changed; correct the document',
            ),
        )

    def parse_proposal(
        self, source: bytes
    ) -> Result[RouteDocument, SettingsError]:
        """Return what ``parse`` does, with the keys that stand twice."""
        return self.parse(source).map(
            lambda document: dataclasses.replace(
                document, repeated_keys=repeated_keys(source)
            )
        )


def parse_report(
    target: str,
    source: bytes,
) -> Result[TargetRecord, SettingsError]:
    """Return the report of a target in JSON text, or the first error in it."""
    return _read(source, lambda fields: _report(target, fields)).alt(
        lambda fault: SettingsError(
            fault,
            step='read report',
            peer=target[:MAX_NAME_LENGTH],
            hint='nothing was changed; correct the report',
        ),
    )


def _read(
    source: bytes, build: Callable[[Fields], Parsed]
) -> Result[Parsed, str]:
    """Return what ``build`` makes of a JSON object, or the first error."""
    parsed = parse_json(source)
    if not isinstance(parsed, Success):
        return Failure(parsed.failure())
    try:
        return Success(build(Fields(parsed.unwrap())))
    except FieldError as error:
        return Failure(str(error))


def _document(fields: Fields) -> RouteDocument:
    return RouteDocument(
        version=_version(fields, 'version'),
        base=_version(fields, 'base_version'),
        route_by_name={
            RouteName(name): _route(name, route)
            for name, route in fields.table('routes').by_name()
        },
        config_by_service={
            ServiceId(name): _config(name, service)
            for name, service in fields.table('services').by_name()
        },
        limits=_limits(fields.table('limits'))
        if fields.has('limits')
        else RouteLimits(),
        accounts=_accounts(fields),
    )


def _accounts(fields: Fields) -> AccountTable | None:
    """Return the accounts; ``None`` only if the document has no such table.

    With an empty table, requests need a key and no key is valid.
    """
    if not fields.is_given('tenants'):
        return None
    return AccountTable(
        Account(
            account=TenantId(name),
            keys=frozenset(map(ApiKey, account.strings('api_keys'))),
            priority=account.rounded('priority', 0),
            rate=account.number('rate_per_s', 0),
            burst=account.number('burst', 0),
            home_regions=frozenset(
                map(RegionId, account.strings('allowed_regions'))
            ),
        )
        for name, account in fields.table('tenants').by_name()
    )


def _version(fields: Fields, key: str) -> Version:
    text = fields.string(key)
    is_number = 0 < len(text) <= MAX_VERSION_DIGITS
    if is_number and set(text).issubset(string.hexdigits):
        return Version(int(text, HEXADECIMAL))
    raise FieldError(
        f'{key}: write 1 to {MAX_VERSION_DIGITS} hexadecimal digits'
    )


def _route(name: str, fields: Fields) -> Route:
    return Route(
        name=RouteName(name),
        host=fields.string('host').lower(),
        prefix=fields.string('path_prefix'),
        kind=fields.choice('kind', RouteKind),
        timeout=Seconds(fields.number('timeout_s')),
        latency_goal=Seconds(fields.number('target_latency_s')),
        priority=fields.rounded('priority', 0),
        branches=_branches(fields),
        max_attempts=fields.rounded('max_attempts', 1),
        home_regions=frozenset(
            map(RegionId, fields.strings('allowed_regions'))
        ),
        is_public=fields.truth('public'),
    )


def _branches(fields: Fields) -> tuple[Branch, ...]:
    if fields.has('traffic_split'):
        return tuple(
            Branch(ServiceId(branch.name('service')), branch.number('weight'))
            for branch in fields.tables('traffic_split')
        )
    return (Branch(ServiceId(fields.name('service')), 1),)


def _config(name: str, fields: Fields) -> ServiceConfig:
    return ServiceConfig(
        service=ServiceId(name),
        health_path=fields.string('health_path'),
        max_connections=fields.rounded('max_connections'),
        cold_rate=fields.number('warmup_per_s', 0),
    )


def _limits(fields: Fields) -> RouteLimits:
    defaults = RouteLimits()
    return RouteLimits(
        fields.rounded('max_header_bytes', defaults.header_bytes),
        fields.rounded('max_body_bytes', defaults.body_bytes),
        fields.number('header_timeout_s', defaults.header_timeout),
        fields.number('idle_timeout_s', defaults.idle_timeout),
    )


def _target_version(description: Fields) -> TargetVersion:
    """Return the version that a target tells, empty if it is no name.

    Reports were accepted whatever they said of the version, and a target that
    is refused would get no requests.
    """
    try:
        return TargetVersion(description.name('version'))
    except FieldError:
        return TargetVersion('')


def _report(target: str, fields: Fields) -> TargetRecord:
    description, status = fields.table('info'), fields.table('status')
    record = TargetRecord(
        target=TargetId(target),
        born=Born(fields.whole('born', low=1)),
        sequence=status.whole('sequence', high=MAX_SEQUENCE),
        service=ServiceId(description.name('service')),
        address=fields.string('address'),
        domain=DomainId(description.name('zone')),
        slots=description.whole('capacity', low=1, high=MAX_SLOTS),
        phase=status.choice('state', TargetPhase),
        version=_target_version(description),
    )
    if not is_unicast_address(record.address):
        raise FieldError(
            'address: write the IP address of one host and a port from 1 to '
            f'{MAX_PORT}, such as 10.0.0.1:8080',
        )
    if not is_token(target):
        raise FieldError(
            f'id: write 1 to {MAX_NAME_LENGTH} printable ASCII characters '
            'without spaces',
        )
    return record

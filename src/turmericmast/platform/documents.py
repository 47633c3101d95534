"""Route documents and target reports as the platform writes them."""

import json
from collections.abc import Mapping
from typing import Any, TypeAlias, final

from returns.result import Failure, Result, Success

from turmericmast.cluster.records import TargetPhase, TargetRecord
from turmericmast.exceptions import SettingsError
from turmericmast.ids import (
    Born,
    DomainId,
    RegionId,
    RouteName,
    Seconds,
    ServiceId,
    TargetId,
    Version,
)
from turmericmast.route.document import (
    Branch,
    Route,
    RouteDocument,
    RouteFormat,
    RouteKind,
    RouteLimits,
    ServiceTerms,
)
from turmericmast.validation import is_address

HEXADECIMAL = 16
UNREADABLE = (LookupError, TypeError, ValueError, AttributeError)
"""What reading a document raises when a field is missing or of a wrong type."""

Tree: TypeAlias = Mapping[str, Any]


@final
class DocumentFormat(RouteFormat):
    """Route documents in JSON; times in seconds, versions in hexadecimal."""

    def parse(self, source: bytes) -> Result[RouteDocument, SettingsError]:
        """Return the document in a text, or what cannot be read in it."""
        try:
            return Success(_document(json.loads(source)))
        except UNREADABLE as error:
            return Failure(
                SettingsError(
                    f'cannot be read: {type(error).__name__}: {error}',
                    step='read routes',
                    hint='send the whole document with every field',
                ),
            )


def parse_report(
    target: str,
    source: bytes,
) -> Result[TargetRecord, SettingsError]:
    """Return the report of a target, or why it names none."""
    try:
        return Success(_report(target, json.loads(source)))
    except UNREADABLE as error:
        return Failure(
            SettingsError(
                f'cannot be read: {type(error).__name__}: {error}',
                step='read report',
                peer=target,
                hint='send every field with its own type',
            ),
        )


def _document(tree: Tree) -> RouteDocument:
    return RouteDocument(
        version=_version(tree['version']),
        base=_version(tree['base_version']),
        route_by_name={
            RouteName(name): _route(name, route)
            for name, route in tree['routes'].items()
        },
        terms_by_service={
            ServiceId(name): _terms(name, service)
            for name, service in tree['services'].items()
        },
        limits=_limits(tree.get('limits') or {}),
    )


def _version(text: str) -> Version:
    return Version(int(text, HEXADECIMAL))


def _route(name: str, tree: Tree) -> Route:
    return Route(
        name=RouteName(name),
        host=_text(tree['host']).lower(),
        prefix=_text(tree['path_prefix']),
        kind=RouteKind(tree['kind']),
        timeout=Seconds(float(tree['timeout_s'])),
        aim=Seconds(float(tree['target_latency_s'])),
        priority=int(tree.get('priority', 0)),
        branches=_branches(tree),
        max_attempts=int(tree.get('max_attempts', 1)),
        home_regions=frozenset(
            RegionId(region) for region in tree.get('allowed_regions') or ()
        ),
    )


def _branches(tree: Tree) -> tuple[Branch, ...]:
    split = tree.get('traffic_split')
    if split:
        return tuple(
            Branch(ServiceId(_text(one['service'])), float(one['weight']))
            for one in split
        )
    return (Branch(ServiceId(_text(tree['service'])), 1),)


def _terms(name: str, tree: Tree) -> ServiceTerms:
    return ServiceTerms(
        service=ServiceId(name),
        health_path=_text(tree['health_path']),
        max_connections=int(tree['max_connections']),
        cold_rate=float(tree.get('warmup_per_s') or 0),
    )


def _limits(tree: Tree) -> RouteLimits:
    usual = RouteLimits()
    return RouteLimits(
        int(tree.get('max_header_bytes', usual.header_bytes)),
        int(tree.get('max_body_bytes', usual.body_bytes)),
        float(tree.get('header_timeout_s', usual.header_timeout)),
        float(tree.get('idle_timeout_s', usual.idle_timeout)),
    )


def _report(target: str, tree: Tree) -> TargetRecord:
    about, status = tree['info'], tree['status']
    address = _text(tree['address'])
    if not is_address(address):
        raise ValueError('address')
    return TargetRecord(
        target=TargetId(target),
        born=Born(_whole(tree['born'])),
        sequence=_whole(status['sequence']),
        service=ServiceId(_text(about['service'])),
        address=address,
        domain=DomainId(_text(about['zone'])),
        slots=_whole(about['capacity']),
        phase=TargetPhase(status['state']),
    )


def _text(given: Any) -> str:
    if not isinstance(given, str):
        raise TypeError(f'{given!r} is no text')
    return given


def _whole(given: Any) -> int:
    if not isinstance(given, int) or isinstance(given, bool):
        raise TypeError(f'{given!r} is no whole number')
    return given

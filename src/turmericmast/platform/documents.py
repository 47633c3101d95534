"""Parsers of the platform's route documents and target reports."""

import json
import math
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
    ServiceConfig,
)
from turmericmast.validation import is_address

HEXADECIMAL = 16
"""Base of the numbers that versions are written in."""
PARSE_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions for a document that lacks a field or has one of a wrong type.

The last two are for numbers beyond the range of a float, and for lists nested
too deeply."""

JsonObject: TypeAlias = Mapping[str, Any]


@final
class DocumentFormat(RouteFormat):
    """Reads route documents in JSON.

    Times are in seconds, versions are hexadecimal strings.
    """

    def parse(self, source: bytes) -> Result[RouteDocument, SettingsError]:
        """Return the route document in JSON text, or the first error in it."""
        try:
            return Success(_document(_decode(source)))
        except PARSE_ERRORS as error:
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
    """Return the report of a target in JSON text, or the first error in it."""
    try:
        return Success(_report(target, _decode(source)))
    except PARSE_ERRORS as error:
        return Failure(
            SettingsError(
                f'cannot be read: {type(error).__name__}: {error}',
                step='read report',
                peer=target,
                hint='send every field with the type that the format requires',
            ),
        )


def _decode(source: bytes) -> Any:
    """Return the value of a JSON text, all of whose numbers are finite."""
    return json.loads(
        source, parse_float=_finite_float, parse_constant=_finite_float
    )


def _finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f'{text} is not a finite number')
    return number


def _document(tree: JsonObject) -> RouteDocument:
    return RouteDocument(
        version=_version(tree['version']),
        base=_version(tree['base_version']),
        route_by_name={
            RouteName(name): _route(name, route)
            for name, route in tree['routes'].items()
        },
        config_by_service={
            ServiceId(name): _config(name, service)
            for name, service in tree['services'].items()
        },
        limits=_limits(tree.get('limits') or {}),
    )


def _version(text: str) -> Version:
    return Version(int(text, HEXADECIMAL))


def _route(name: str, tree: JsonObject) -> Route:
    return Route(
        name=RouteName(name),
        host=_string(tree['host']).lower(),
        prefix=_string(tree['path_prefix']),
        kind=RouteKind(tree['kind']),
        timeout=Seconds(float(tree['timeout_s'])),
        latency_goal=Seconds(float(tree['target_latency_s'])),
        priority=int(tree.get('priority', 0)),
        branches=_branches(tree),
        max_attempts=int(tree.get('max_attempts', 1)),
        home_regions=frozenset(
            RegionId(region) for region in tree.get('allowed_regions') or ()
        ),
    )


def _branches(tree: JsonObject) -> tuple[Branch, ...]:
    split = tree.get('traffic_split')
    if split:
        return tuple(
            Branch(
                ServiceId(_string(branch['service'])), float(branch['weight'])
            )
            for branch in split
        )
    return (Branch(ServiceId(_string(tree['service'])), 1),)


def _config(name: str, tree: JsonObject) -> ServiceConfig:
    return ServiceConfig(
        service=ServiceId(name),
        health_path=_string(tree['health_path']),
        max_connections=int(tree['max_connections']),
        cold_rate=float(tree.get('warmup_per_s') or 0),
    )


def _limits(tree: JsonObject) -> RouteLimits:
    defaults = RouteLimits()
    return RouteLimits(
        int(tree.get('max_header_bytes', defaults.header_bytes)),
        int(tree.get('max_body_bytes', defaults.body_bytes)),
        float(tree.get('header_timeout_s', defaults.header_timeout)),
        float(tree.get('idle_timeout_s', defaults.idle_timeout)),
    )


def _report(target: str, tree: JsonObject) -> TargetRecord:
    description, status = tree['info'], tree['status']
    address = _string(tree['address'])
    if not is_address(address):
        raise ValueError('address is not IP-ADDRESS:PORT')
    return TargetRecord(
        target=TargetId(target),
        born=Born(_integer(tree['born'])),
        sequence=_integer(status['sequence']),
        service=ServiceId(_string(description['service'])),
        address=address,
        domain=DomainId(_string(description['zone'])),
        slots=_integer(description['capacity']),
        phase=TargetPhase(status['state']),
    )


def _string(json_value: Any) -> str:
    if not isinstance(json_value, str):
        raise TypeError(f'{json_value!r} is not a string')
    return json_value


def _integer(json_value: Any) -> int:
    if not isinstance(json_value, int) or isinstance(json_value, bool):
        raise TypeError(f'{json_value!r} is not an integer')
    return json_value

"""The route document: routes, services and limits, checked as a whole."""

import abc
import dataclasses
import enum
from collections.abc import Iterator, Mapping
from typing import final

from returns.result import Failure, Result, Success

from turmericmast.exceptions import SettingsError
from turmericmast.ids import (
    RegionId,
    RouteName,
    Seconds,
    ServiceId,
    Version,
)

MAX_TIMEOUT = 600.0
"""Seconds; the operators' pages refuse a longer one."""
MAX_GOAL_OVER_TIMEOUT = 60.0
"""Seconds by which an aim may exceed the timeout, by the same pages."""


@final
class RouteKind(enum.Enum):
    """What may be done with a request more than once."""

    safe = 'safe'
    unsafe = 'unsafe'
    download = 'download'

    @property
    def is_repeatable(self) -> bool:
        """Tell whether running a request twice does no harm."""
        return self is not RouteKind.unsafe


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Branch:
    """A service that gets a share of a route's requests."""

    service: ServiceId
    weight: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests go where, and what their callers may expect."""

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    timeout: Seconds
    latency_goal: Seconds
    """Time within which an answer is worth most to its caller."""
    priority: int
    """Rank of the requests; 0 goes first."""
    branches: tuple[Branch, ...]
    max_attempts: int
    """Targets that one request may be sent to."""
    home_regions: frozenset[RegionId] = frozenset()
    """Regions that may serve the requests; any region when empty."""

    def allows(self, region: RegionId) -> bool:
        """Tell whether a target in a region may serve the requests."""
        return not self.home_regions or region in self.home_regions


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """What the targets of one service bear."""

    service: ServiceId
    health_path: str
    max_connections: int
    """Connections that a target accepts from all callers together."""
    cold_rate: float
    """Requests a second that a target bears while it is cold."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RouteLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 65_536
    body_bytes: int = 67_108_864
    header_timeout: float = 10.0
    """Seconds from the first byte of a request to the end of its headers."""
    idle_timeout: float = 75.0
    """Seconds that a connection may stay open between two requests."""


@final
@dataclasses.dataclass(frozen=True)
class RouteDocument:
    """One version of the routes."""

    version: Version = Version(0)
    base: Version = Version(0)
    """The version that this one was made from."""
    route_by_name: Mapping[RouteName, Route] = dataclasses.field(
        default_factory=dict,
    )
    config_by_service: Mapping[ServiceId, ServiceConfig] = dataclasses.field(
        default_factory=dict,
    )
    limits: RouteLimits = RouteLimits()

    def validate(self) -> Result['RouteDocument', SettingsError]:
        """Return the document, or the error that lists its faults."""
        faults = list(self._find_faults())
        if faults:
            return Failure(
                SettingsError(
                    '; '.join(faults),
                    step='check routes',
                    hint='nothing was changed; correct the document',
                ),
            )
        return Success(self)

    def _find_faults(self) -> Iterator[str]:
        for route in self.route_by_name.values():
            path = f'routes.{route.name}'
            yield from (
                f'{path}.{fault}' for fault in _find_route_faults(route)
            )
            yield from (
                f'{path}: service {branch.service!r} is not defined'
                for branch in route.branches
                if branch.service not in self.config_by_service
            )


class RouteFormat(abc.ABC):
    """How a route document is written down."""

    @abc.abstractmethod
    def parse(self, source: bytes) -> Result[RouteDocument, SettingsError]:
        """Return the document in a text, or what cannot be read in it."""


def _find_route_faults(route: Route) -> Iterator[str]:
    if not route.host:
        yield 'host: is empty; set a host name'
    if route.timeout > MAX_TIMEOUT:
        yield f'timeout: must be at most {MAX_TIMEOUT:g} s'
    if route.latency_goal - route.timeout >= MAX_GOAL_OVER_TIMEOUT:
        yield (
            'latency_goal: must not exceed the timeout by '
            f'{MAX_GOAL_OVER_TIMEOUT:g} s or more'
        )
    if any(branch.weight < 0 for branch in route.branches):
        yield 'weight: must not be negative'

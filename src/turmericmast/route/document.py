"""The route document: routes, services and limits, validated as a whole."""

import abc
import dataclasses
import enum
import itertools
from collections.abc import Collection, Iterator, Mapping
from typing import final

from returns.result import Failure, Result, Success

from turmericmast.account.table import AccountTable
from turmericmast.exceptions import SettingsError
from turmericmast.ids import (
    RegionId,
    RouteName,
    Seconds,
    ServiceId,
    Version,
)
from turmericmast.names import is_token

MAX_TIMEOUT = 600.0
"""Longest timeout of a route in seconds.

A route document with a longer one is rejected as a whole."""
MAX_GOAL_OVER_TIMEOUT = 60.0
"""Seconds by which a latency goal may exceed the timeout, exclusive.

A route document with a goal that exceeds it by as much or more is rejected as
a whole."""

REUSE_MARGIN = 1.0
"""Seconds between the last reuse of an idle connection and its close.

Covers a response and a request on their way, and an instance that is slow."""


@final
class RouteKind(enum.Enum):
    """Whether the requests of a route may run more than once."""

    safe = 'safe'
    """Running a request twice does no harm."""
    unsafe = 'unsafe'
    """Running a request twice may do harm."""
    download = 'download'
    """Like ``safe``, for downloads."""
    upload = 'upload'
    """Like ``unsafe``, with large request bodies."""

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self in {RouteKind.safe, RouteKind.download}


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Branch:
    """A service that gets a weighted share of a route's requests."""

    service: ServiceId
    weight: float


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which services, and their limits."""

    name: RouteName
    host: str
    """Host name in lower case."""
    prefix: str
    """Prefix of the paths that the route matches."""
    kind: RouteKind
    timeout: Seconds
    """Time limit of a request whose caller sets no shorter one."""
    latency_goal: Seconds
    """Latency within which an answer has its full value to the caller."""
    priority: int
    """Priority of the requests; 0 is the highest."""
    branches: tuple[Branch, ...]
    max_attempts: int
    """Number of targets that one request may be sent to."""
    home_regions: frozenset[RegionId] = frozenset()
    """Regions that may serve the requests; any region when empty."""
    is_public: bool = False
    """Whether the requests need no key of a client account."""

    @property
    def is_split(self) -> bool:
        """Tell whether several services share the requests."""
        return len(self.branches) > 1

    def weight_by_service(self) -> Mapping[ServiceId, float]:
        """Return the weights above 0; those of one service are added up."""
        weights: dict[ServiceId, float] = {}
        for branch in self.branches:
            if branch.weight > 0:
                known = weights.get(branch.service, 0)
                weights[branch.service] = known + branch.weight
        return weights

    def share(self, service: ServiceId) -> float:
        """Return a service's share of the requests, from 0 to 1."""
        weights = self.weight_by_service()
        total = sum(weights.values())
        return weights.get(service, 0) / total if total else 0

    def allows(self, region: RegionId) -> bool:
        """Tell whether a target in a region may serve the requests."""
        return not self.home_regions or region in self.home_regions


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Settings of one service and the limits of its targets."""

    service: ServiceId
    health_path: str
    """Path of the health check of each target."""
    max_connections: int
    """Connections that a target accepts from all clients together."""
    cold_rate: float
    """Requests a second that a cold target accepts from all instances."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RouteLimits:
    """Limits on the size and timing of callers' requests."""

    header_bytes: int = 65_536
    """Largest size of all headers of a request together, in bytes."""
    body_bytes: int = 67_108_864
    """Largest size of a request body, in bytes."""
    header_timeout: float = 10.0
    """Seconds from the first byte of a request to the end of its headers."""
    idle_timeout: float = 75.0
    """Seconds that a connection may stay open between two requests."""

    @property
    def reuse_time(self) -> int:
        """Return the whole seconds for which callers may reuse a connection.

        It is 0 if the idle time-out is too short to tell them.
        """
        return max(int(self.idle_timeout - REUSE_MARGIN), 0)


@final
@dataclasses.dataclass(frozen=True)
class RouteDocument:
    """One version of all routes, services and limits."""

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
    accounts: AccountTable | None = None
    """The client accounts; ``None`` if requests need no key."""
    repeated_keys: frozenset[str] = frozenset()
    """Keys that stand twice in one object of a proposed document.

    Which of their values was meant is not known."""

    def validate(
        self, regions: Collection[RegionId] = ()
    ) -> Result['RouteDocument', SettingsError]:
        """Return the document, or an error that lists all its faults.

        ``regions`` are those of the deployment, none if they are not known.
        """
        faults = list(self._find_faults())
        if self.accounts and regions:
            faults.extend(self.accounts.find_unknown_regions(regions))
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
        yield from (
            f'routes.{later.name}: has the host and prefix of '
            f'routes.{earlier.name}; no request would choose between them'
            for earlier, later in self._find_equal_routes()
        )
        for config in self.config_by_service.values():
            path = f'services.{config.service}'
            yield from (
                f'{path}.{fault}' for fault in _find_service_faults(config)
            )
        yield from (
            f'{key!r} stands twice in one object; write it once'
            for key in sorted(self.repeated_keys)
        )
        if self.accounts:
            yield from self.accounts.find_faults()
        yield from (
            f'limits.{fault}' for fault in _find_limit_faults(self.limits)
        )

    def _find_equal_routes(self) -> Iterator[tuple[Route, Route]]:
        """Yield pairs of routes that match the same requests."""
        by_place = sorted(
            self.route_by_name.values(),
            key=lambda route: (route.host, route.prefix, route.name),
        )
        return (
            (earlier, later)
            for earlier, later in itertools.pairwise(by_place)
            if (earlier.host, earlier.prefix) == (later.host, later.prefix)
        )


class RouteFormat(abc.ABC):
    """The encoding of route documents."""

    @abc.abstractmethod
    def parse(self, source: bytes) -> Result[RouteDocument, SettingsError]:
        """Return the decoded document, or an error that says what is wrong."""

    @abc.abstractmethod
    def parse_proposal(
        self, source: bytes
    ) -> Result[RouteDocument, SettingsError]:
        """Return what ``parse`` does, with ``RouteDocument.repeated_keys``.

        Only a document that is proposed is checked for them.
        """


def _find_route_faults(route: Route) -> Iterator[str]:
    if not route.host.strip():
        yield 'host: is empty; set a host name'
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        yield 'prefix: must begin and end with /'
    if route.max_attempts < 1:
        yield 'max_attempts: must be above 0, or no target gets a request'
    if route.timeout <= 0:
        yield 'timeout: must be above 0 s, or no request can be answered'
    if route.timeout > MAX_TIMEOUT:
        yield f'timeout: must be at most {MAX_TIMEOUT:g} s'
    if route.latency_goal - route.timeout >= MAX_GOAL_OVER_TIMEOUT:
        yield (
            'latency_goal: must not exceed the timeout by '
            f'{MAX_GOAL_OVER_TIMEOUT:g} s or more'
        )
    if any(branch.weight < 0 for branch in route.branches):
        yield 'weight: must not be negative'
    elif not any(branch.weight for branch in route.branches):
        yield 'weight: one must be above 0, or no service gets the requests'


def _find_service_faults(config: ServiceConfig) -> Iterator[str]:
    if not _is_path(config.health_path):
        yield 'health_path: must begin with / and be ASCII without spaces'
    if config.max_connections < 1:
        yield 'max_connections: must be above 0, or no target can be reached'


def _is_path(path: str) -> bool:
    """Tell whether a path can be requested; an empty one stands for none."""
    return not path or (path.startswith('/') and is_token(path))


def _find_limit_faults(limits: RouteLimits) -> Iterator[str]:
    if limits.header_bytes <= 0:
        yield 'header_bytes: must be above 0, or every request is refused'
    if limits.body_bytes < 0:
        yield 'body_bytes: must not be negative'
    if limits.header_timeout <= 0:
        yield 'header_timeout: must be above 0 s'
    if limits.idle_timeout < 0:
        yield 'idle_timeout: must not be negative'

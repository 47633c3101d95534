"""Route matching, and splitting of a route's traffic among services."""

import itertools
import math
from collections.abc import Callable, Iterable, Mapping
from typing import final

from turmericmast.account.account import Identity, combine_home_regions
from turmericmast.ids import ApiKey, RegionId, RouteName, ServiceId
from turmericmast.route.document import Route, RouteDocument, RouteKind

ROUNDING_ERROR = 1e-9
"""What a sum of shares may fall short of 1 by rounding."""
STARTS = 1_000_000
"""Different starts, so that none is within ``ROUNDING_ERROR`` of 1."""


@final
class RouteTable:
    """The routes of a document, sorted for matching."""

    def __init__(self, document: RouteDocument) -> None:
        """Sort the routes of each host by prefix, the longest first."""
        self.document = document
        self.needs_keys = _need_keys(document, document.route_by_name.values())
        """Whether requests on some route need the key of an account."""
        self.has_uploads = any(
            route.kind is RouteKind.upload
            for route in document.route_by_name.values()
        )
        """Whether callers send large bodies on some route."""
        ordered = sorted(
            document.route_by_name.values(),
            key=lambda route: (route.host, -len(route.prefix), route.name),
        )
        self._routes_by_host: Mapping[str, tuple[Route, ...]] = {
            host: tuple(routes)
            for host, routes in itertools.groupby(
                ordered,
                key=lambda route: route.host,
            )
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of ``path``.

        ``path`` may have a query, which is ignored.
        """
        bare_path = path.partition('?')[0]
        return next(
            (
                route
                for route in self._routes_by_host.get(normalize_host(host), ())
                if bare_path.startswith(route.prefix)
            ),
            None,
        )

    def host_needs_keys(self, host: str) -> bool:
        """Tell whether requests on some route of a host need a key."""
        routes = self._routes_by_host.get(normalize_host(host), ())
        return _need_keys(self.document, routes)

    def home_regions(
        self, host: str, keys: tuple[ApiKey, ...] = ()
    ) -> frozenset[RegionId]:
        """Return the regions that may serve all routes of a host.

        Empty if any of the routes may be served in every region. Those of the
        caller's account bind, too, if ``keys`` tell which it is.
        """
        routes = self._routes_by_host.get(normalize_host(host), ())
        homes = [route.home_regions for route in routes]
        of_routes = (
            frozenset.intersection(*homes)
            if homes and all(homes)
            else frozenset()
        )
        accounts = self.document.accounts
        account = accounts.find(keys) if accounts else None
        return combine_home_regions(of_routes, Identity(account))


def _need_keys(document: RouteDocument, routes: Iterable[Route]) -> bool:
    if document.accounts is None:
        return False
    return not all(route.is_public for route in routes)


@final
class TrafficSplitter:
    """Distributes the requests of each route over its branches by weight.

    Each branch has a position from 0 to 1 that moves on by its share with
    each request, and gets the request with which it passes 1. So the shares
    of one instance hold over few requests. Those of many instances hold even
    if each of them gets one request, since their positions start apart.
    """

    def __init__(
        self, start_of: Callable[[RouteName, ServiceId], float]
    ) -> None:
        """Begin at the positions that ``start_of`` returns.

        They are at least 0 and below 1, and evenly distributed over instances
        and branches.
        """
        self._start_of = start_of
        self._position_by_branch: dict[tuple[RouteName, ServiceId], float] = {}

    def pick(self, route: Route) -> ServiceId | None:
        """Return the service for a request, ``None`` if all weights are 0.

        Each branch takes its share of the requests that those before it left.
        """
        if not route.is_split:
            return route.branches[0].service
        weights = route.weight_by_service()
        if not weights:
            return None
        *services, last = weights
        left = sum(weights.values())
        for service in services:
            if self._advance(route.name, service, weights[service] / left):
                return service
            left -= weights[service]
        return last

    def keep(self, routes: Iterable[Route]) -> None:
        """Forget the positions of all branches but those of ``routes``."""
        kept = {
            (route.name, branch.service)
            for route in routes
            for branch in route.branches
        }
        for key in self._position_by_branch.keys() - kept:
            self._position_by_branch.pop(key)

    def _advance(
        self, route: RouteName, service: ServiceId, share: float
    ) -> bool:
        """Move a branch on by its share; tell whether it gets the request."""
        branch = (route, service)
        position = self._position_by_branch.get(branch)
        if position is None:
            position = math.floor(self._start_of(*branch) * STARTS) / STARTS
        position += share
        is_picked = position >= 1 - ROUNDING_ERROR
        self._position_by_branch[branch] = position - is_picked
        return is_picked


def normalize_host(host: str) -> str:
    """Return a host name in lower case and without a port."""
    return host.partition(':')[0].lower()

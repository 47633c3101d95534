"""Route matching, and splitting of a route's traffic among services."""

import itertools
from collections.abc import Iterable, Mapping
from typing import final

from turmericmast.ids import RegionId, RouteName, ServiceId
from turmericmast.route.document import Route, RouteDocument


@final
class RouteTable:
    """The routes of a document, sorted for matching."""

    def __init__(self, document: RouteDocument) -> None:
        """Sort the routes of each host by prefix, the longest first."""
        self.document = document
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

    def home_regions(self, host: str) -> frozenset[RegionId]:
        """Return the regions that may serve all routes of a host.

        Empty if any of the routes may be served in every region.
        """
        routes = self._routes_by_host.get(normalize_host(host), ())
        homes = [route.home_regions for route in routes]
        if not homes or not all(homes):
            return frozenset()
        return frozenset.intersection(*homes)


@final
class TrafficSplitter:
    """Distributes the requests of each route over its branches by weight.

    Each request goes to the branch that is furthest behind its share (smooth
    weighted round robin), so the shares also hold over few requests.
    """

    def __init__(self) -> None:
        """Begin with a credit of 0 for each branch."""
        self._credit_by_branch: dict[tuple[RouteName, ServiceId], float] = {}

    def pick(self, route: Route) -> ServiceId | None:
        """Return the service for a request, ``None`` if all weights are 0."""
        if len(route.branches) == 1:
            return route.branches[0].service
        total = sum(branch.weight for branch in route.branches)
        if not total:
            return None
        credit = self._credit_by_branch
        for branch in route.branches:
            key = (route.name, branch.service)
            credit[key] = credit.get(key, 0) + branch.weight / total
        service = max(
            (option.service for option in route.branches if option.weight > 0),
            key=lambda candidate: credit[route.name, candidate],
        )
        credit[route.name, service] -= 1
        return service

    def keep(self, routes: Iterable[Route]) -> None:
        """Forget the credits of all branches but those of ``routes``."""
        kept = {
            (route.name, branch.service)
            for route in routes
            for branch in route.branches
        }
        for key in self._credit_by_branch.keys() - kept:
            self._credit_by_branch.pop(key)


def normalize_host(host: str) -> str:
    """Return a host name in lower case and without a port."""
    return host.partition(':')[0].lower()

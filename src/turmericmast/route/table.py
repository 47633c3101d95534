"""Find the route of a request, and the service that a route sends it to."""

import itertools
from collections.abc import Mapping
from typing import final

from turmericmast.ids import RegionId, RouteName, ServiceId
from turmericmast.route.document import Route, RouteDocument


@final
class RouteTable:
    """The routes of a document, ordered for look-ups."""

    def __init__(self, document: RouteDocument) -> None:
        """Sort the routes of each host, the longest prefix first."""
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
        """Return the route with the longest prefix that begins ``path``."""
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
        """Return the regions that serve every route of a host.

        Empty when any of them may be served anywhere.
        """
        routes = self._routes_by_host.get(normalize_host(host), ())
        homes = [route.home_regions for route in routes]
        if not homes or not all(homes):
            return frozenset()
        return frozenset.intersection(*homes)


@final
class TrafficSplitter:
    """Spreads the requests of each route over its branches by weight.

    Each request goes to the branch that is furthest behind its share, so
    shares hold over short spans too.
    """

    def __init__(self) -> None:
        """Start without any debt."""
        self._credit_by_branch: dict[tuple[RouteName, ServiceId], float] = {}

    def pick(self, route: Route) -> ServiceId | None:
        """Return the service for one request; none when all weigh nothing."""
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
            (one.service for one in route.branches if one.weight > 0),
            key=lambda one: credit[route.name, one],
        )
        credit[route.name, service] -= 1
        return service


def normalize_host(host: str) -> str:
    """Return a host name in lower case, without its port."""
    return host.partition(':')[0].lower()

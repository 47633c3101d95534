"""Matching, splitting and validation against a plain reading of the format.

The readings work on the decoded JSON, one route after the other.
"""

import math
import unittest
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Success

from tests.platform_samples import ROUTES, changed, encoded
from turmericmast.platform.documents import DocumentFormat
from turmericmast.route.document import RouteDocument
from turmericmast.route.table import RouteTable, TrafficSplitter

SAMPLE_ROUTES: Any = ROUTES['routes']
SERVICES = ('stock', 'stock-next', 'orders')
HOSTS = ('shop.example', 'Shop.example', 'pay.example', 'shop.example.org')
PARTS = ('a', 'A', 'ab', 'b', '%61', '%2F', '', '.', '..')
REGIONS = ('tirol', 'wien', 'kaernten')

HOST_HEADERS = st.tuples(
    st.sampled_from((*HOSTS, 'SHOP.EXAMPLE', 'example', '')),
    st.sampled_from(('', ':80', ':8548')),
).map(''.join)
PREFIXES = st.lists(st.sampled_from(PARTS), max_size=3).map(
    lambda parts: ''.join(f'/{part}' for part in parts) + '/',
)
PATHS = st.tuples(
    PREFIXES,
    st.sampled_from(('', 'a', 'a/b', 'x/')),
    st.sampled_from(('', '?', '?q=/a/b/', '?a?b')),
).map(''.join)
HOMES = st.lists(st.sampled_from(REGIONS), unique=True, max_size=2)
WEIGHTS = st.lists(
    st.integers(0, 12),
    min_size=1,
    max_size=len(SERVICES),
).filter(any)

STARTS = st.floats(0, 1, exclude_max=True)
LAST_START = math.nextafter(1, 0)

TIMEOUTS = st.sampled_from((-1, 0, 0.001, 1, 599.9, 600, 600.1, math.nan))
GOALS = st.sampled_from((0.25, 1, 59.9, 60, 61, 659.9, 660, math.inf))
SPLITS = st.lists(
    st.tuples(
        st.sampled_from((*SERVICES, 'gone')),
        st.sampled_from((-1, 0, 0.5, 90, math.nan)),
    ),
    min_size=1,
    max_size=3,
)


@st.composite
def _documents(draw: st.DrawFn) -> Any:
    """Draw a document in which no two routes have one host and prefix."""
    places = draw(
        st.lists(
            st.tuples(st.sampled_from(HOSTS), PREFIXES),
            max_size=8,
            unique_by=lambda place: (place[0].lower(), place[1]),
        ),
    )
    routes = {
        f'r-{index}': {
            **SAMPLE_ROUTES['order'],
            'host': host,
            'path_prefix': prefix,
            'allowed_regions': draw(HOMES),
        }
        for index, (host, prefix) in enumerate(places)
    }
    return changed(ROUTES, 'routes', routes)


def _parse(tree: Any) -> RouteDocument:
    return DocumentFormat().parse(encoded(tree)).unwrap()


def _expected_route(tree: Any, host: str, path: str) -> str | None:
    """Return the route of the host with the longest prefix of the path."""
    bare_host = host.split(':')[0].lower()
    bare_path = path.split('?')[0]
    longest = None
    for name, route in tree['routes'].items():
        prefix = route['path_prefix']
        if route['host'].lower() != bare_host:
            continue
        if bare_path[: len(prefix)] != prefix:
            continue
        known = tree['routes'][longest]['path_prefix'] if longest else ''
        if len(prefix) > len(known):
            longest = name
    return longest


def _is_usable(route: Any) -> bool:
    """Tell whether the values of a route may be in force."""
    timeout, goal = route['timeout_s'], route['target_latency_s']
    branches = route['traffic_split']
    numbers = (timeout, goal, *(branch['weight'] for branch in branches))
    if not all(math.isfinite(number) for number in numbers):
        return False
    weights = [branch['weight'] for branch in branches]
    return all(
        (
            0 < timeout <= 600,
            goal < timeout + 60,
            min(weights) >= 0,
            max(weights) > 0,
            all(branch['service'] in SERVICES for branch in branches),
        ),
    )


def _with_split(weights: list[int]) -> Any:
    branches = [
        {'service': service, 'weight': weight}
        for service, weight in zip(SERVICES, weights, strict=False)
    ]
    return changed(ROUTES, 'routes.look.traffic_split', branches)


def _splitter(start: float) -> TrafficSplitter:
    return TrafficSplitter(lambda _route, _service: start)


def _pick(
    splitter: TrafficSplitter, weights: list[int], requests: int
) -> list[int]:
    """Return how many of the requests each of the services gets."""
    route = RouteTable(_parse(_with_split(weights))).find(
        'shop.example', '/stock/'
    )
    assert route is not None
    picked = [splitter.pick(route) for _ in range(requests)]
    return [picked.count(service) for service in SERVICES[: len(weights)]]


class MatchingTest(unittest.TestCase):
    """A request gets the route that a plain reading gives it."""

    @settings(max_examples=300, deadline=None)
    @given(_documents(), HOST_HEADERS, PATHS)
    def test_route(self, tree: Any, host: str, path: str) -> None:
        route = RouteTable(_parse(tree)).find(host, path)
        self.assertEqual(
            route and route.name, _expected_route(tree, host, path)
        )

    @settings(max_examples=100, deadline=None)
    @given(_documents(), HOST_HEADERS)
    def test_home_regions_may_serve_all_routes_of_the_host(
        self, tree: Any, host: str
    ) -> None:
        homes = RouteTable(_parse(tree)).home_regions(host)
        for route in tree['routes'].values():
            if route['host'].lower() == host.split(':')[0].lower():
                allowed = route['allowed_regions'] or REGIONS
                self.assertLessEqual(homes, set(allowed))


class SplittingTest(unittest.TestCase):
    """Services get requests in the proportions of their weights."""

    @settings(max_examples=100, deadline=None)
    @given(WEIGHTS, STARTS)
    @example([1, 1], LAST_START)
    @example([1, 2], 1 / 3)
    def test_one_period_is_exact(
        self, weights: list[int], start: float
    ) -> None:
        picked = _pick(_splitter(start), weights, sum(weights))
        self.assertEqual(picked, weights)

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(WEIGHTS, min_size=2, max_size=4), st.integers(0, 30), STARTS
    )
    def test_earlier_documents_leave_no_bias(
        self, documents: list[list[int]], requests: int, start: float
    ) -> None:
        splitter = _splitter(start)
        *earlier, last = documents
        for weights in earlier:
            _pick(splitter, weights, requests)
        picked = _pick(splitter, last, 100)
        for count, weight in zip(picked, last, strict=True):
            expected = 100 * weight / sum(last)
            self.assertLessEqual(abs(count - expected), len(SERVICES))
            if not weight:
                self.assertEqual(count, 0)


class ValidationTest(unittest.TestCase):
    """A document is accepted if a request of each of its routes can run."""

    @settings(max_examples=300, deadline=None)
    @given(TIMEOUTS, GOALS, SPLITS)
    def test_values_of_a_route(
        self, timeout: float, goal: float, split: list[tuple[str, float]]
    ) -> None:
        route = {
            **SAMPLE_ROUTES['look'],
            'timeout_s': timeout,
            'target_latency_s': goal,
            'traffic_split': [
                {'service': service, 'weight': weight}
                for service, weight in split
            ],
        }
        checked = (
            DocumentFormat()
            .parse(encoded(changed(ROUTES, 'routes.look', route)))
            .bind(lambda document: document.validate())
        )
        self.assertIs(isinstance(checked, Success), _is_usable(route))

"""Pages and command with which operators look into a large fleet.

Pattern: hundreds of instances and targets, of which an operator wants a few.
"""

import asyncio
import contextlib
import json
import sys
import unittest
import urllib.parse
from collections.abc import AsyncIterator
from typing import Any

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port
from tornado.web import Application

from tests.edge_samples import (
    NOW,
    REGION_BY_DOMAIN,
    SkewedClock,
    document,
    feed,
    instance,
    target,
)
from turmericmast.balance.pause import PauseRequest
from turmericmast.call.call import Loss
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.commands import ReportTarget, SetEdge
from turmericmast.cluster.records import EdgePhase
from turmericmast.edge.edge import Edge
from turmericmast.edge.explanation import Obstacle, explain_target
from turmericmast.instancesettings import Bounds
from turmericmast.programs.fleetview import format_rows
from turmericmast.web.fleetpages import core_pages, edge_pages
from turmericmast.web.pageserver import make_page_server

INSTANCES = 300
DOMAINS = tuple(REGION_BY_DOMAIN)


def _cluster() -> Cluster:
    cluster = Cluster()
    for number in range(INSTANCES):
        domain = DOMAINS[number % len(DOMAINS)]
        phase = EdgePhase.leaving if number < 10 else EdgePhase.serving
        cluster.apply(
            2 * number + 1, SetEdge(instance(f'e{number:03d}', domain, phase))
        )
        cluster.apply(
            2 * number + 2, ReportTarget(target(f'{number:03d}', domain))
        )
    return cluster


def _edge() -> Edge:
    own = instance('e')
    sample = Edge(own, REGION_BY_DOMAIN, Bounds())
    names = ('1', '2', '3')
    targets = tuple(target(name) for name in names)
    sample.apply(feed(own, targets=targets), document())
    return sample


LISTS = [
    ('all', 'instances', {}, 50, 250),
    ('limit', 'instances', {'limit': '7'}, 7, 293),
    ('domain', 'instances', {'domain': 'wien-a', 'limit': '1000'}, 100, 0),
    ('phase', 'instances', {'phase': 'leaving'}, 10, 0),
    (
        'both',
        'instances',
        {'phase': 'leaving', 'domain': 'tirol-a'},
        4,
        0,
    ),
    ('targets', 'targets', {'service': 'stock', 'limit': '20'}, 20, 280),
    ('unknown_service', 'targets', {'service': 'other'}, 0, 0),
]

FAULTS = [
    ('limit_0', {'limit': '0'}, 'limit: write a whole number from 1'),
    ('limit_text', {'limit': 'x'}, 'limit: write a whole number from 1'),
    ('limit_long', {'limit': '9' * 5000}, 'limit: write a whole number'),
    ('phase', {'phase': 'gone'}, 'phase: write one of leaving, serving'),
]


class FleetPageTest(unittest.IsolatedAsyncioTestCase):
    """Lists are filtered, bounded, and tell what they leave out."""

    @parameterized.expand(LISTS)
    async def test_list(
        self,
        _name: str,
        page: str,
        query: dict[str, str],
        shown: int,
        left_out: int,
    ) -> None:
        async with _serve(core_pages(_cluster())) as fetch:
            answer = await fetch(f'/fleet/{page}', query)
        self.assertEqual(len(answer[page]), shown)
        self.assertEqual(answer['left_out'], left_out)

    @parameterized.expand(FAULTS)
    async def test_fault(
        self, _name: str, query: dict[str, str], fault: str
    ) -> None:
        async with _serve(core_pages(_cluster())) as fetch:
            answer = await fetch('/fleet/instances', query)
        self.assertIn(fault, answer['error'])

    async def test_budgets(self) -> None:
        clock = SkewedClock()
        async with _serve(edge_pages(_edge(), clock)) as fetch:
            answer = await fetch('/fleet/budgets', {})
        self.assertEqual(answer['instances'], 1)
        self.assertEqual(
            [budget['service'] for budget in answer['budgets']], ['stock']
        )

    async def test_targets_of_an_edge(self) -> None:
        async with _serve(edge_pages(_edge(), SkewedClock())) as fetch:
            answer = await fetch('/fleet/targets', {'limit': '2'})
        obstacles = [row['obstacle'] for row in answer['targets']]
        self.assertEqual(obstacles, ['unverified', 'unverified'])
        self.assertEqual(answer['left_out'], 1)
        self.assertIn('1 more', format_rows(answer['targets'], 1))


class FleetCommandTest(unittest.IsolatedAsyncioTestCase):
    """The command shows tables, and says what to do after a fault."""

    @parameterized.expand(
        [
            ('instances', ('instances', '--limit=3'), 0, '297 more'),
            ('none_found', ('targets', '--service=x'), 0, 'NOTHING FOUND'),
            ('fault', ('instances', '--phase=x'), 1, 'phase: write one of'),
            ('no_such_page', ('budgets',), 1, 'ask process'),
            ('status_of_no_page', ('budgets',), 1, 'status 404'),
            ('no_command', (), 2, 'usage: turmericmast-fleet'),
        ]
    )
    async def test_command(
        self, _name: str, arguments: tuple[str, ...], status: int, shown: str
    ) -> None:
        async with _serve_at(core_pages(_cluster())) as port:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-c',
                'from turmericmast.programs.fleetview import main; main()',
                f'--address=127.0.0.1:{port}',
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            output, _ = await process.communicate()
        self.assertEqual(process.returncode, status)
        self.assertIn(shown, output.decode())


class ExplanationTest(unittest.TestCase):
    """The strongest obstacle between an instance and a target is named."""

    @parameterized.expand(
        [
            ('never_probed', 'nothing', Obstacle.unverified),
            ('verified', 'verify', Obstacle.none),
            ('cold', 'cold', Obstacle.cold),
            ('lost', 'lost', Obstacle.ejected),
            ('unhealthy', 'unhealthy', Obstacle.unhealthy),
            ('full', 'full', Obstacle.full),
            ('evacuated', 'evacuated', Obstacle.evacuated),
            ('leaving', 'leaving', Obstacle.leaving),
            ('paused', 'paused', Obstacle.paused),
        ]
    )
    def test_obstacle(self, _name: str, event: str, expected: Obstacle) -> None:
        edge = _edge()
        view = next(iter(edge.views()))
        if event != 'nothing':
            view.verify(3 if event == 'cold' else 0, NOW)
        if event == 'leaving':
            view.departure.begin(NOW)
        if event == 'paused':
            view.pause.begin(PauseRequest(2), NOW)
        view.is_unhealthy = event == 'unhealthy'
        if event == 'evacuated':
            edge.evacuated = frozenset((view.record.domain,))
        for _ in range(4 * (event == 'full')):
            view.begin_request()
        if event == 'lost':
            view.begin_request()
            view.end_request(Loss.connection_lost, NOW)
        self.assertIs(explain_target(edge, view, NOW).obstacle, expected)


@contextlib.asynccontextmanager
async def _serve_at(pages: Any) -> AsyncIterator[int]:
    """Serve pages on loopback; yield the port."""
    server = make_page_server(Application(list(pages)))
    sock, port = bind_unused_port()
    server.add_socket(sock)
    yield port
    server.stop()
    await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def _serve(pages: Any) -> AsyncIterator[Any]:
    """Serve pages; yield a function that fetches a document."""
    async with _serve_at(pages) as port:

        async def fetch(path: str, query: dict[str, str]) -> Any:
            text = urllib.parse.urlencode(query)
            answer = await AsyncHTTPClient().fetch(
                f'http://127.0.0.1:{port}{path}?{text}', raise_error=False
            )
            return json.loads(answer.body)

        yield fetch

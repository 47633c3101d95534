"""Core and edge processes on loopback, end to end."""

import contextlib
import pathlib
import signal
import tempfile
import unittest
from collections.abc import AsyncIterator, Mapping
from typing import Any

from bench.machines import LocalCluster, Upstream
from tests.platform_samples import ROUTES, changed
from turmericmast.programs.timeline import read_events
from turmericmast.programs.why import explain_request

FIRST_ROUTES = changed(
    changed(ROUTES, 'version', '00000001'), 'base_version', '0'
)
FIRST_ROUTES = changed(
    FIRST_ROUTES,
    'routes.look.traffic_split',
    [{'service': 'stock', 'weight': 1}],
)
FIRST_ROUTES = changed(FIRST_ROUTES, 'routes.order.service', 'stock')
FIRST_ROUTES = changed(FIRST_ROUTES, 'routes.order.allowed_regions', ['wien'])
SECOND_ROUTES = changed(
    changed(FIRST_ROUTES, 'version', '00000004'), 'base_version', '1'
)
SECOND_ROUTES = changed(SECOND_ROUTES, 'routes.look.path_prefix', '/bales/')

FAILED_REQUESTS = [
    (
        'unsafe-request-that-hangs',
        'pay.example',
        '/orders/hang',
        504,
        ['request_refused'],
    ),
    (
        'safe-request-that-fails-at-all-targets',
        'shop.example',
        '/bales/fail',
        500,
        ['request_repeated', 'request_failed_at_target'],
    ),
    (
        'safe-request-that-hangs',
        'shop.example',
        '/bales/hang',
        504,
        ['request_hedged', 'request_refused'],
    ),
]


class MachinesTest(unittest.IsolatedAsyncioTestCase):
    """Three machines that find each other by their seeds.

    The test acts as targets, callers and operator.
    """

    async def test_end_to_end(self) -> None:
        async with run_cluster() as (cluster, upstreams):
            await self._check_forwarding(cluster)
            await self._check_route_updates(cluster)
            await self._check_failure_events(cluster)
            await self._check_evacuation(cluster, upstreams)
            await self._check_planned_stop(cluster)
            await self._check_killed_member(cluster)

    async def _check_forwarding(self, cluster: LocalCluster) -> None:
        answer = await cluster.request_as_caller('wien-a', '/stock/7', 'r-1')
        self.assertEqual(
            (answer.code, answer.body), (200, b'u-wien-a /stock/7')
        )
        self.assertEqual(answer.headers['X-Response-Signature'], 'signed')
        self.assertEqual(answer.headers['X-Request-Id'], 'r-1')
        missing = await cluster.request_as_caller('wien-a', '/nothing/', 'r-2')
        self.assertEqual(missing.code, 404)
        directory = await cluster.send_request(
            'tirol-a',
            cluster.ports[2],
            '/-/resolve?name=shop.example&region=wien&zone=wien-a',
        )
        self.assertIn(cluster.ip_by_zone['wien-a'], directory.body.decode())

    async def _check_route_updates(self, cluster: LocalCluster) -> None:
        for zone, document, status in (
            ('wien-a', SECOND_ROUTES, 200),
            ('tirol-a', SECOND_ROUTES, 200),
            ('tirol-a', FIRST_ROUTES, 200),
            ('tirol-a', changed(SECOND_ROUTES, 'version', '00000005'), 412),
            ('tirol-a', changed(SECOND_ROUTES, 'routes.look.host', ''), 400),
        ):
            answer = await cluster.request_core(
                zone,
                'PUT',
                '/-/config',
                document,
            )
            self.assertEqual(answer.code, status, answer.body)
        read = await cluster.request_core('kaernten-a', 'GET', '/-/config')
        self.assertIn(b'"00000004"', read.body)

        async def is_in_force() -> bool:
            answer = await cluster.request_as_caller(
                'tirol-a', '/bales/1', 'r-3'
            )
            return answer.code == 200

        await cluster.wait_until(is_in_force, 2)

    async def _check_failure_events(self, cluster: LocalCluster) -> None:
        """Check that the logs alone tell the cause of each failed request."""
        for request_id, host, path, status, event_names in FAILED_REQUESTS:
            with self.subTest(request_id):
                answer = await cluster.request_as_caller(
                    'wien-a', path, request_id, host
                )
                self.assertEqual(answer.code, status)
                events, _ = read_events(cluster.log_paths())
                request_events = [
                    event
                    for event in explain_request(events, request_id)
                    if event.get('request') == request_id
                ]
                self.assertEqual(
                    [event['event'] for event in request_events], event_names
                )
                self.assertTrue(request_events[-1]['tried'].startswith('u-'))
                self.assertIn('load_age_ms', request_events[0])

    async def _check_evacuation(
        self,
        cluster: LocalCluster,
        upstreams: dict[str, Upstream],
    ) -> None:
        evacuated = await cluster.request_core(
            'tirol-a',
            'POST',
            '/-/evacuations/wien-a',
        )
        self.assertEqual(evacuated.code, 200)

        async def is_served_elsewhere() -> bool:
            answer = await cluster.request_as_caller(
                'wien-a', '/bales/2', 'r-4'
            )
            return answer.code == 200 and b'u-wien-a' not in answer.body

        await cluster.wait_until(is_served_elsewhere, 5)
        count_before = len(upstreams['wien-a'].paths)
        await cluster.request_as_caller('wien-a', '/bales/3', 'r-5')
        self.assertEqual(len(upstreams['wien-a'].paths), count_before)

    async def _check_planned_stop(self, cluster: LocalCluster) -> None:
        self.assertEqual(
            cluster.stop('edge', 'wien-a', signal.SIGTERM),
            0,
        )

        async def is_out_of_directory() -> bool:
            directory = await cluster.send_request(
                'tirol-a',
                cluster.ports[2],
                '/-/resolve?name=shop.example&region=wien&zone=wien-a',
            )
            return cluster.ip_by_zone['wien-a'] not in directory.body.decode()

        await cluster.wait_until(is_out_of_directory, 5)
        events = [
            event['event'] for event in cluster.event_lines('edge', 'wien-a')
        ]
        self.assertEqual(events[0], 'started')
        self.assertEqual(events[-1], 'stopped')
        self.assertIn('leaving', events)

    async def _check_killed_member(self, cluster: LocalCluster) -> None:
        cluster.stop('core', 'tirol-a', signal.SIGKILL)

        async def is_version_kept() -> bool:
            read = await cluster.request_core('kaernten-a', 'GET', '/-/config')
            return read.code == 200 and b'"00000004"' in read.body

        await cluster.wait_until(is_version_kept, 5)
        answer = await cluster.request_as_caller('tirol-a', '/bales/9', 'r-6')
        self.assertEqual(answer.code, 200)


@contextlib.asynccontextmanager
async def run_cluster(
    bounds: Mapping[str, Any] | None = None,
) -> AsyncIterator[tuple[LocalCluster, dict[str, Upstream]]]:
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        cluster = stack.enter_context(
            LocalCluster(pathlib.Path(folder), bounds=bounds)
        )
        upstreams = {
            zone: stack.enter_context(
                Upstream(f'u-{zone}', zone, f'{ip}:{cluster.ports[6]}'),
            )
            for zone, ip in cluster.ip_by_zone.items()
        }
        await cluster.wait_until(lambda: _is_ready(cluster, upstreams))
        yield cluster, upstreams


async def _is_ready(
    cluster: LocalCluster,
    upstreams: dict[str, Upstream],
) -> bool:
    core_answers = [
        await cluster.request_core('tirol-a', 'PUT', '/-/config', FIRST_ROUTES),
        *[
            await cluster.request_core(
                'tirol-a',
                'PUT',
                f'/-/instances/{upstream.name}',
                upstream.next_report(),
            )
            for upstream in upstreams.values()
        ],
    ]
    if any(answer.code != 200 for answer in core_answers):
        return False
    answers = [
        await cluster.request_as_caller(zone, '/stock/', 'r-0')
        for zone in cluster.ip_by_zone
    ]
    return all(
        answer.code == 200 and zone.encode() in answer.body
        for zone, answer in zip(cluster.ip_by_zone, answers, strict=True)
    )

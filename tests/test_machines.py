"""Real processes on loopback: the path of a request on the users' machines."""

import contextlib
import pathlib
import signal
import tempfile
import unittest
from collections.abc import AsyncIterator

from bench.machines import Machines, Upstream
from tests.platform_samples import ROUTES, changed
from turmericmast.programs.timeline import read_events
from turmericmast.programs.why import explain_request

FIRST = changed(changed(ROUTES, 'version', '00000001'), 'base_version', '0')
FIRST = changed(
    FIRST,
    'routes.look.traffic_split',
    [{'service': 'stock', 'weight': 1}],
)
FIRST = changed(FIRST, 'routes.order.service', 'stock')
FIRST = changed(FIRST, 'routes.order.allowed_regions', ['wien'])
SECOND = changed(changed(FIRST, 'version', '00000004'), 'base_version', '1')
SECOND = changed(SECOND, 'routes.look.path_prefix', '/bales/')

STORIES = [
    (
        'order-without-answer',
        'pay.example',
        '/orders/hang',
        504,
        ['request_refused'],
    ),
    (
        'look-up-that-fails-everywhere',
        'shop.example',
        '/bales/fail',
        500,
        ['request_repeated', 'request_failed_at_target'],
    ),
    (
        'look-up-without-answer',
        'shop.example',
        '/bales/hang',
        504,
        ['request_hedged', 'request_refused'],
    ),
]


class MachinesTest(unittest.IsolatedAsyncioTestCase):
    """Three machines, found from seeds; targets and operator played here."""

    async def test_whole_path(self) -> None:
        async with _running() as (machines, upstreams):
            await self._check_requests(machines)
            await self._check_orders(machines)
            await self._check_stories(machines)
            await self._check_evacuation(machines, upstreams)
            await self._check_planned_stop(machines)
            await self._check_lost_member(machines)

    async def _check_requests(self, machines: Machines) -> None:
        answer = await machines.call('wien-a', '/stock/7', 'r-1')
        self.assertEqual(
            (answer.code, answer.body), (200, b'u-wien-a /stock/7')
        )
        self.assertEqual(answer.headers['X-Response-Signature'], 'signed')
        self.assertEqual(answer.headers['X-Request-Id'], 'r-1')
        missing = await machines.call('wien-a', '/nothing/', 'r-2')
        self.assertEqual(missing.code, 404)
        directory = await machines.ask(
            'tirol-a',
            machines.ports[2],
            '/-/resolve?name=shop.example&region=wien&zone=wien-a',
        )
        self.assertIn(machines.ip_by_zone['wien-a'], directory.body.decode())

    async def _check_orders(self, machines: Machines) -> None:
        for zone, document, status in (
            ('wien-a', SECOND, 200),
            ('tirol-a', SECOND, 200),
            ('tirol-a', FIRST, 200),
            ('tirol-a', changed(SECOND, 'version', '00000005'), 412),
            ('tirol-a', changed(SECOND, 'routes.look.host', ''), 400),
        ):
            answer = await machines.order(
                zone,
                'PUT',
                '/-/config',
                document,
            )
            self.assertEqual(answer.code, status, answer.body)
        read = await machines.order('kaernten-a', 'GET', '/-/config')
        self.assertIn(b'"00000004"', read.body)

        async def is_in_force() -> bool:
            moved = await machines.call('tirol-a', '/bales/1', 'r-3')
            return moved.code == 200

        await machines.until(is_in_force, 2)

    async def _check_stories(self, machines: Machines) -> None:
        """Find the cause of each failure by the lines alone."""
        for request, host, path, status, told in STORIES:
            with self.subTest(request):
                answer = await machines.call('wien-a', path, request, host)
                self.assertEqual(answer.code, status)
                events, _ = read_events(machines.logs())
                found = [
                    event
                    for event in explain_request(events, request)
                    if event.get('request') == request
                ]
                self.assertEqual([one['event'] for one in found], told)
                self.assertTrue(found[-1]['tried'].startswith('u-'))
                self.assertIn('load_age_ms', found[0])

    async def _check_evacuation(
        self,
        machines: Machines,
        upstreams: dict[str, Upstream],
    ) -> None:
        emptied = await machines.order(
            'tirol-a',
            'POST',
            '/-/evacuations/wien-a',
        )
        self.assertEqual(emptied.code, 200)

        async def is_elsewhere() -> bool:
            answer = await machines.call('wien-a', '/bales/2', 'r-4')
            return answer.code == 200 and b'u-wien-a' not in answer.body

        await machines.until(is_elsewhere, 5)
        before = len(upstreams['wien-a'].paths)
        await machines.call('wien-a', '/bales/3', 'r-5')
        self.assertEqual(len(upstreams['wien-a'].paths), before)

    async def _check_planned_stop(self, machines: Machines) -> None:
        self.assertEqual(
            machines.stop('edge', 'wien-a', signal.SIGTERM),
            0,
        )

        async def is_left_out() -> bool:
            directory = await machines.ask(
                'tirol-a',
                machines.ports[2],
                '/-/resolve?name=shop.example&region=wien&zone=wien-a',
            )
            return machines.ip_by_zone['wien-a'] not in directory.body.decode()

        await machines.until(is_left_out, 5)
        events = [one['event'] for one in machines.lines('edge', 'wien-a')]
        self.assertEqual(events[0], 'started')
        self.assertEqual(events[-1], 'stopped')
        self.assertIn('leaving', events)

    async def _check_lost_member(self, machines: Machines) -> None:
        machines.stop('core', 'tirol-a', signal.SIGKILL)

        async def is_known() -> bool:
            read = await machines.order('kaernten-a', 'GET', '/-/config')
            return read.code == 200 and b'"00000004"' in read.body

        await machines.until(is_known, 5)
        answer = await machines.call('tirol-a', '/bales/9', 'r-6')
        self.assertEqual(answer.code, 200)


@contextlib.asynccontextmanager
async def _running() -> AsyncIterator[tuple[Machines, dict[str, Upstream]]]:
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        machines = stack.enter_context(Machines(pathlib.Path(folder)))
        upstreams = {
            zone: stack.enter_context(
                Upstream(f'u-{zone}', zone, f'{ip}:{machines.ports[6]}'),
            )
            for zone, ip in machines.ip_by_zone.items()
        }
        await machines.until(lambda: _is_set_up(machines, upstreams))
        yield machines, upstreams


async def _is_set_up(
    machines: Machines,
    upstreams: dict[str, Upstream],
) -> bool:
    orders = [
        await machines.order('tirol-a', 'PUT', '/-/config', FIRST),
        *[
            await machines.order(
                'tirol-a',
                'PUT',
                f'/-/instances/{one.name}',
                one.report(),
            )
            for one in upstreams.values()
        ],
    ]
    if any(answer.code != 200 for answer in orders):
        return False
    answers = [
        await machines.call(zone, '/stock/', 'r-0')
        for zone in machines.ip_by_zone
    ]
    return all(
        answer.code == 200 and zone.encode() in answer.body
        for zone, answer in zip(machines.ip_by_zone, answers, strict=True)
    )

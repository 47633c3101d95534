"""Revoked keys, with core and edge processes on loopback.

Guards against a key that runs later than ``revoke_s`` after it was taken away
(CONFIG): on edges that have lost the core, and on one that was frozen.
"""

import asyncio
import signal
import unittest
from typing import Any

from bench.machines import LocalCluster
from tests.platform_samples import changed
from tests.test_machines import FIRST_ROUTES, run_cluster
from turmericmast.replica.state import Timing

BOUND = 3.0
LEASE = Timing().election_min
"""Seconds for which no other leader can acknowledge a change, and for which the
leader proves that none is missing."""
KEY = 'key-farm'
PATH = '/stock/7'
WITH_ACCOUNTS: Any = {
    **changed(
        changed(FIRST_ROUTES, 'version', '00000002'), 'base_version', '1'
    ),
    'tenants': {
        'farm': {'api_keys': [KEY]},
        'press': {'api_keys': ['key-press']},
    },
}
WITHOUT_FARM: Any = {
    **WITH_ACCOUNTS,
    'version': '00000003',
    'base_version': '2',
    'tenants': {'press': {'api_keys': ['key-press']}},
}


class RevocationTest(unittest.IsolatedAsyncioTestCase):
    """The bound holds on every machine, connected or not."""

    async def test_end_to_end(self) -> None:
        bounds = {'revoke_fail_closed': True, 'revoke_s': BOUND}
        async with run_cluster(bounds) as (cluster, _):
            await self._propose(cluster, WITH_ACCOUNTS)
            await cluster.wait_until(lambda: _all_serve(cluster))
            await self._check_core_lost(cluster)
            await cluster.wait_until(lambda: _all_serve(cluster))
            await self._check_frozen_edge(cluster)

    async def _propose(self, cluster: LocalCluster, document: Any) -> None:
        answer = await cluster.request_core(
            'tirol-a', 'PUT', '/-/config', document
        )
        self.assertEqual(answer.code, 200)

    async def _check_core_lost(self, cluster: LocalCluster) -> None:
        """Freeze a majority: the third member's answers prove nothing."""
        lost = ('kaernten-a', 'wien-a')
        for zone in lost:
            cluster.signal('core', zone, signal.SIGSTOP)
        await asyncio.sleep(LEASE + BOUND)
        for zone in cluster.ip_by_zone:
            self.assertEqual(await _status(cluster, zone), 503)
            ready = await cluster.send_request(zone, cluster.ports[1], '/')
            self.assertNotEqual(ready.code, 200)
        for frozen in lost:
            cluster.signal('core', frozen, signal.SIGCONT)

    async def _check_frozen_edge(self, cluster: LocalCluster) -> None:
        """Freeze an edge while the key is taken away; it wakes with a call."""
        cluster.signal('edge', 'wien-a', signal.SIGSTOP)
        await self._propose(cluster, WITHOUT_FARM)
        calls = [
            asyncio.ensure_future(_status(cluster, 'wien-a')) for _ in range(8)
        ]
        await asyncio.sleep(BOUND)
        late = asyncio.ensure_future(_status(cluster, 'wien-a'))
        await asyncio.sleep(0.1)
        cluster.signal('edge', 'wien-a', signal.SIGCONT)
        statuses = await asyncio.gather(late, *calls)
        self.assertNotIn(200, statuses)
        for zone in cluster.ip_by_zone:
            self.assertIn(await _status(cluster, zone), {401, 503})


async def _status(cluster: LocalCluster, zone: str, key: str = KEY) -> int:
    answer = await cluster.request_as_caller(zone, PATH, 'r', key=key)
    return int(answer.code)


async def _all_serve(cluster: LocalCluster) -> bool:
    """Tell whether all edges have the accounts and serve the key."""
    statuses = {
        (await _status(cluster, zone), await _status(cluster, zone, 'x'))
        for zone in cluster.ip_by_zone
    }
    return statuses == {(200, 401)}


if __name__ == '__main__':
    unittest.main()

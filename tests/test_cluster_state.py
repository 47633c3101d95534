"""Watchers of the cluster.

Pattern: hundreds of instances start at once, and each start is a change.
"""

import asyncio
import unittest

from parameterized import parameterized

from tests.edge_samples import instance
from turmericmast.cluster import commands
from turmericmast.programs.clusterstate import (
    MERGE_INTERVAL,
    ClusterStateMachine,
)

STARTS_PER_TURN = 10


class FeedMergingTest(unittest.IsolatedAsyncioTestCase):
    """Changes in quick succession reach a watcher as few feeds."""

    async def asyncSetUp(self) -> None:
        self.state_machine = ClusterStateMachine()
        self.feeds = 0

    async def test_one_change_is_sent_at_once(self) -> None:
        watcher = asyncio.ensure_future(self._watch_until(1))
        await asyncio.sleep(0)
        self._start(1)
        async with asyncio.timeout(MERGE_INTERVAL / 2):
            await watcher
        self.assertEqual(self.feeds, 1)

    @parameterized.expand([(35, 122), (35, 315), (97, 874)])
    async def test_many_starts(self, watchers: int, starts: int) -> None:
        watching = [
            asyncio.ensure_future(self._watch_until(starts))
            for _ in range(watchers)
        ]
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        for index in range(1, starts + 1):
            self._start(index)
            if index % STARTS_PER_TURN == 0:
                await asyncio.sleep(0.001)
        async with asyncio.timeout(2):
            await asyncio.gather(*watching)
        turns = (loop.time() - began_at) / MERGE_INTERVAL + 2
        self.assertLessEqual(self.feeds, watchers * turns)

    def _start(self, index: int) -> None:
        command = commands.SetEdge(instance(f'edge-{index}'))
        self.state_machine.apply(index, command)

    async def _watch_until(self, index: int) -> None:
        known = 0
        while known < index:
            await self.state_machine.wait_for_change(known, 1)
            known = self.state_machine.cluster.index
            self.feeds += 1

"""Rollouts at a core member, with a fake group: faults around the leader."""

import asyncio
import unittest.mock
from types import SimpleNamespace
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Success

from tests.edge_harness import ManualClock
from tests.edge_samples import instance
from tests.rollout_simulation import record
from tests.test_version_gate import known
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.commands import OrderRollout, ReportTarget
from turmericmast.exceptions import DiskError
from turmericmast.ids import Millis
from turmericmast.instancesettings import Bounds
from turmericmast.metrics import Metrics
from turmericmast.programs.rolloutdriver import RolloutDriver
from turmericmast.rollout.records import RolloutState, VersionCounts
from turmericmast.wire.clusterrequests import HeardEvidence
from turmericmast.wire.watchrequests import WatchCluster

TICKS = 100
"""Checks in the time budget of 10 s."""
COUNTS = VersionCounts('stock', 3, 'look', True, 40, 0, ())
DISK_FULL = Failure(DiskError('no space left', step='append'))


class JumpingClock(ManualClock):
    """A clock whose wall time is far from the elapsed time."""

    offset = 0.0

    def wall(self) -> Millis:
        """Return the wall time, which jumps by ``offset`` seconds."""
        return Millis(int((self.time + self.offset) * 1000))


class DriverTest(unittest.IsolatedAsyncioTestCase):
    """A rollout ends in time, whatever fails around its leader."""

    def setUp(self) -> None:
        self.cluster = Cluster()
        self.clock = JumpingClock()
        self.index = 0
        self.full_until = 0.0
        self.sent: list[Any] = []
        for command in (
            ReportTarget(record('1', 'v1')),
            ReportTarget(record('2', 'v2')),
            OrderRollout('stock', 'v2', 10000),
        ):
            self._apply(command)
        link = SimpleNamespace(send=self.sent.append)
        self.group = unittest.mock.Mock(
            is_leader=True,
            replica=SimpleNamespace(leader='m2'),
            links=SimpleNamespace(to=lambda _member: link),
        )
        process = SimpleNamespace(
            settings=SimpleNamespace(bounds=Bounds()),
            clock=self.clock,
            metrics=Metrics(),
            events=unittest.mock.Mock(),
        )
        self.events = process.events
        self.driver = RolloutDriver(
            process,
            SimpleNamespace(change=self._change),
            self.group,
            self.cluster,
        )

    # Guards against steps that are skipped or held when the wall clock of the
    # leader is set.
    @parameterized.expand([(0.0,), (7.0,), (-7.0,), (86400.0,)])
    async def test_wall_clock_jumps(self, seconds: float) -> None:
        await self._run(TICKS // 3)
        self.clock.offset = seconds
        await self._run(TICKS // 2)
        self.assertIs(self._state(), RolloutState.completed)

    async def test_full_disk(self) -> None:
        # Guards against a decision that is given up, since it could not be
        # written, and against one line for each attempt without a reason.
        self.full_until = self.clock.now() + 2
        await self._run(TICKS)
        self.assertIs(self._state(), RolloutState.completed)
        failed = [
            call.kwargs['reason']
            for call in self.events.write.call_args_list
            if not call.kwargs['committed']
        ]
        self.assertTrue(failed)
        self.assertTrue(all('no space left' in reason for reason in failed))

    async def test_other_member_sends_evidence(self) -> None:
        # Guards against evidence that never reaches the leader.
        self.group.is_leader = False
        await self._run(3)
        evidence = [
            counts
            for heard in self.sent
            if isinstance(heard, HeardEvidence)
            for edge in heard.evidence
            for counts in edge.counts
        ]
        self.assertIn(COUNTS, evidence)
        self.assertIs(self._state(), RolloutState.running)
        self.assertEqual(self._share(), known(RolloutState.running).share)

    async def _run(self, ticks: int) -> None:
        for _ in range(ticks):
            self.driver.record(
                WatchCluster(instance('e'), 0, evidence=(COUNTS,))
            )
            self.driver.tick()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.clock.time += 0.1

    async def _change(self, command: Any) -> Any:
        if self.clock.now() < self.full_until:
            return DISK_FULL
        return Success(self._apply(command))

    def _apply(self, command: Any) -> bool:
        self.index += 1
        return self.cluster.apply(self.index, command).unwrap()

    def _state(self) -> RolloutState:
        return self.cluster.rollouts.find('stock').state

    def _share(self) -> int:
        return self.cluster.rollouts.find('stock').share

"""Targets that go on after a time without reports."""

import asyncio
import unittest.mock
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from parameterized import parameterized
from returns.result import Success

from tests.test_cluster import record
from turmericmast.cluster import commands
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.records import (
    MAX_SEQUENCE,
    TargetPhase,
    TargetRecord,
)
from turmericmast.cluster.silence import (
    MAX_SILENT_TARGETS,
    decide_about_silent,
)
from turmericmast.ids import Index, TargetId
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs.clusteroperations import ClusterOperations
from turmericmast.programs.clusterstate import ClusterStateMachine
from turmericmast.programs.failuredetector import FailureDetector
from turmericmast.replica.appliedhistory import AppliedHistory
from turmericmast.wire.clusterrequests import Heard

READY, DRAINING = TargetPhase.ready, TargetPhase.draining
TICK = 0.5
"""Seconds between two ticks of the test."""

LATER_REPORTS = [
    ('next_but_one', record(sequence=7), READY),
    ('after_a_long_time', record(sequence=99), READY),
    ('new_start', record(born=11, sequence=1), READY),
    ('draining', record(sequence=9, phase=DRAINING), DRAINING),
    ('from_before_the_silence', record(sequence=4), DRAINING),
    ('earlier_start', record(born=9, sequence=99), DRAINING),
]

DECISIONS = [
    ('silent', [record()], 'a', '', ['a'], []),
    ('alive', [record()], '', '', [], []),
    ('drains_already', [record(phase=DRAINING)], 'a', '', [], []),
    ('expired', [record(phase=DRAINING)], 'a', 'a', [], ['a']),
    ('expired_before_it_is_retired', [record()], 'a', 'a', [], ['a']),
    ('last_number', [record(sequence=MAX_SEQUENCE)], 'a', '', [], ['a']),
]
"""Records, ids of silent and expired ones, and of retired and removed ones."""


class SilentTargetTest(unittest.TestCase):
    """A silent target is retired, and its next report overrides this."""

    # Guards against a target that is shut out until its next start by a
    # silence: its reports were acknowledged and ignored.
    @parameterized.expand(LATER_REPORTS)
    def test_later_report(
        self, _name: str, report: TargetRecord, phase: TargetPhase
    ) -> None:
        cluster = Cluster()
        cluster.apply(Index(1), commands.ReportTarget(record(sequence=5)))
        decided = decide_about_silent([record(sequence=5)], {'a'}, ())
        for retirement in decided.retired:
            cluster.apply(Index(2), retirement)
        known = cluster.registry.table.record_by_key
        self.assertIs(known[TargetId('a')].phase, DRAINING)
        cluster.apply(Index(3), commands.ReportTarget(report))
        self.assertIs(known[TargetId('a')].phase, phase)

    @parameterized.expand(DECISIONS)
    def test_decision(
        self,
        _name: str,
        records: list[TargetRecord],
        silent: str,
        expired: str,
        retired: list[str],
        removed: list[str],
    ) -> None:
        decided = decide_about_silent(records, silent, expired)
        self.assertEqual(
            [report.record.target for report in decided.retired], retired
        )
        self.assertEqual(list(decided.removed), removed)

    def test_number_of_silent_targets_is_limited(self) -> None:
        records = [
            replace(record(), target=str(number), address=f'10.0.0.1:{number}')
            for number in range(MAX_SILENT_TARGETS + 2)
        ]
        targets = [silent.target for silent in records]
        decided = decide_about_silent(records, set(targets), ())
        self.assertEqual(decided.removed, ('0', '1'))
        self.assertEqual(len(decided.retired), MAX_SILENT_TARGETS)


class SilenceAtTheLeaderTest(unittest.IsolatedAsyncioTestCase):
    """The leader retires a silent target, and takes its next report."""

    def setUp(self) -> None:
        self.now = 100.0
        self.state_machine = ClusterStateMachine()
        process: Any = SimpleNamespace(
            clock=SimpleNamespace(now=lambda: self.now),
            events=unittest.mock.Mock(),
            settings=SimpleNamespace(
                bounds=SimpleNamespace(report_interval=1.5), domain='tirol-a'
            ),
        )
        self.operations = ClusterOperations(
            process, self._group(), self.state_machine, DocumentFormat()
        )
        self.detector = FailureDetector(
            process, self.operations.committer, self.state_machine.cluster
        )

    async def test_silence_of_ten_intervals(self) -> None:
        await self.operations.report_target(record(sequence=1))
        for phase, seconds in ((READY, 10), (DRAINING, 5)):
            await self._pass_time(seconds)
            self.assertEqual(self._phase(), phase)
        await self.operations.report_target(record(sequence=9))
        await self._pass_time(1)
        self.assertEqual(self._phase(), READY)

    async def _pass_time(self, seconds: float) -> None:
        for _ in range(int(seconds / TICK)):
            self.now += TICK
            reported = self.operations.take_reporting_targets()
            self.detector.record_alive(Heard(tuple(reported), ()))
            self.detector.retire_silent()
            await asyncio.sleep(0)

    def _phase(self) -> TargetPhase:
        known = self.state_machine.cluster.registry.table.record_by_key
        return known[TargetId('a')].phase

    def _group(self) -> Any:
        history = AppliedHistory()

        async def propose(command: Any, _timeout: float) -> Any:
            index = Index(self.state_machine.cluster.index + 1)
            return Success(self.state_machine.apply(index, command))

        return SimpleNamespace(
            is_leader=True,
            propose=propose,
            applied_index=Index(0),
            history=history,
            seats=(),
        )

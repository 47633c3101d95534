"""Orders of operators that reach a core member late."""

import asyncio
import http
import signal
import time
import unittest.mock
from types import SimpleNamespace
from typing import Any

from parameterized import parameterized
from returns.result import Success
from tornado.testing import AsyncHTTPTestCase

from bench.lateorders import (
    FROZEN_DOMAIN,
    SETTLE_SECONDS,
    WORKING_DOMAIN,
    play_late_orders,
    send_order,
    send_without_answer,
    wait_until_served_at_home,
)
from tests.test_cluster import record
from tests.test_machines import run_cluster
from turmericmast.cluster import commands
from turmericmast.cluster.pendingcommands import PendingCommands
from turmericmast.cluster.records import TargetPhase
from turmericmast.ids import Index, Seconds
from turmericmast.metrics import Metrics
from turmericmast.platform.coreapi import make_application
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs.clustercommitter import (
    MAX_ORDER_AGE,
    ClusterCommitter,
)
from turmericmast.programs.clusteroperations import ClusterOperations
from turmericmast.programs.clusterstate import ClusterStateMachine
from turmericmast.replica.appliedhistory import AppliedHistory
from turmericmast.wire import codec, replies, watchrequests
from turmericmast.wire.clusterrequests import ChangeCluster

NOW = Seconds(1000)
EVACUATE = commands.SetEvacuation('wien-a', evacuated=True)
WITHDRAW = commands.SetEvacuation('wien-a', evacuated=False)
OLD_WITHDRAWAL = bytes.fromhex('0c661c0c5c18067769656e2d611200000000')
"""``ChangeCluster(WITHDRAW)`` as 750d29e encodes it."""

OLD_REMOVAL = bytes.fromhex('0c661c0c58191803752d3100000000')
"""``ChangeCluster(RemoveTargets(('u-1',)))`` as it encodes it."""

FORWARDED = [
    ('undoes_a_later_one', ChangeCluster(WITHDRAW, 6), replies.Overtaken),
    ('sent_after_it', ChangeCluster(WITHDRAW, 7), watchrequests.TellIndex),
    ('done_already', ChangeCluster(EVACUATE, 0), watchrequests.TellIndex),
    (
        'other_domain',
        ChangeCluster(commands.SetEvacuation('tirol-a', evacuated=True), 0),
        watchrequests.TellIndex,
    ),
    (
        'removal_from_before_the_start',
        ChangeCluster(commands.RemoveTargets(('b', 'a')), 6),
        replies.Overtaken,
    ),
    (
        'removal_after_the_start',
        ChangeCluster(commands.RemoveTargets(('a',)), 7),
        watchrequests.TellIndex,
    ),
    (
        'removal_of_an_unknown_target',
        ChangeCluster(commands.RemoveTargets(('b',)), 0),
        watchrequests.TellIndex,
    ),
    (
        'removal_by_an_older_version',
        codec.decode(OLD_REMOVAL).unwrap(),
        replies.NotNow,
    ),
    ('of_unknown_age', ChangeCluster(WITHDRAW), replies.NotNow),
    (
        'of_unknown_age_after_changes_of_an_earlier_leader',
        ChangeCluster(commands.SetEvacuation('kaernten-a', evacuated=False)),
        watchrequests.TellIndex,
    ),
    ('older_version', codec.decode(OLD_WITHDRAWAL).unwrap(), replies.NotNow),
]
"""Orders that reach a leader.

The last evacuation and the last starts of ``a`` and ``u-1`` are at index 7."""

SAMPLES = [
    ('none', [], 0),
    ('one', [3], 0),
    ('pause', [3, 9], 3),
    ('later_on', [3, 9, 9], 9),
]


class FrozenMemberTest(unittest.IsolatedAsyncioTestCase):
    """A core member that wakes from a freeze carries out no undone order."""

    # Guards against an acknowledged evacuation, or the end of one, that is
    # undone by an order from before it (review/1, EVAC).
    async def test_orders_from_before_the_freeze(self) -> None:
        async with run_cluster() as (cluster, _upstreams):
            outcome = await play_late_orders(cluster, '/stock/1')
        for late, is_carried_out in outcome.items():
            with self.subTest(late):
                self.assertFalse(is_carried_out)

    # Guards against a target that is shut out for good by its own removal
    # from before its last start.
    async def test_removal_from_before_the_freeze(self) -> None:
        async with run_cluster() as (cluster, upstreams):
            upstream = upstreams[WORKING_DOMAIN]
            path = f'/-/instances/{upstream.name}'
            cluster.signal('core', FROZEN_DOMAIN, signal.SIGSTOP)
            send_without_answer(cluster, 'DELETE', path).close()
            await send_order(cluster, 'DELETE', path)
            upstream.restart()
            report = upstream.next_report()
            await send_order(cluster, 'PUT', path, report)
            cluster.signal('core', FROZEN_DOMAIN, signal.SIGCONT)
            await asyncio.sleep(SETTLE_SECONDS)
            await send_order(cluster, 'PUT', path, upstream.next_report())
            await wait_until_served_at_home(cluster, WORKING_DOMAIN, '/stock/1')


class ForwardedOrderTest(unittest.IsolatedAsyncioTestCase):
    """A leader refuses orders that may be older than what they would undo."""

    # Guards against orders that wait in the queue of a link, or at a member of
    # an older version, until a later one was acknowledged.
    @parameterized.expand(FORWARDED)
    async def test_reply(
        self, _name: str, change: ChangeCluster, reply_class: type
    ) -> None:
        committer, state_machine = _leader()
        state_machine.apply(
            Index(4), commands.SetEvacuation('kaernten-a', evacuated=True)
        )
        for command in (
            EVACUATE,
            commands.ReportTarget(record('a')),
            commands.ReportTarget(record('u-1', address='10.0.0.2:80')),
        ):
            state_machine.apply(Index(7), command)
        reply = await committer.serve_change(change)
        self.assertIsInstance(reply, reply_class)

    # Guards against an order that got no answer and undoes the next one, which
    # found its domain as it was to be.
    async def test_order_from_before_one_that_changed_nothing(self) -> None:
        committer, state_machine = _leader()
        for index in (5, 7):
            state_machine.apply(Index(index), EVACUATE)
        reply = await committer.serve_change(ChangeCluster(WITHDRAW, Index(6)))
        # A sender that has seen this index is no longer overtaken.
        self.assertEqual(reply, replies.Overtaken(Index(7)))

    async def test_later_reports_of_one_start_do_not_count(self) -> None:
        committer, state_machine = _leader()
        state_machine.apply(Index(6), commands.ReportTarget(record('a')))
        state_machine.apply(
            Index(7),
            commands.ReportTarget(
                record('a', sequence=2, phase=TargetPhase.draining)
            ),
        )
        removal = commands.RemoveTargets(('a',))
        reply = await committer.serve_change(ChangeCluster(removal, Index(6)))
        self.assertIsInstance(reply, watchrequests.TellIndex)

    async def test_unknown_age_of_an_order_after_a_long_time(self) -> None:
        committer, state_machine = _leader(MAX_ORDER_AGE)
        state_machine.apply(Index(7), EVACUATE)
        reply = await committer.serve_change(ChangeCluster(WITHDRAW))
        self.assertIsInstance(reply, watchrequests.TellIndex)

    async def test_changes_by_a_snapshot_may_be_later(self) -> None:
        committer, state_machine = _leader()
        state_machine.apply(Index(7), EVACUATE)
        state_machine.restore(state_machine.snapshot())
        reply = await committer.serve_change(ChangeCluster(WITHDRAW, Index(6)))
        self.assertEqual(reply, replies.Overtaken(Index(7)))

    # Guards against an old order that is appended right after a later one.
    async def test_order_behind_one_that_is_not_applied_yet(self) -> None:
        committer, state_machine = _leader(is_waiting=True)
        later = asyncio.ensure_future(committer.order(EVACUATE, Index(0)))
        await asyncio.sleep(0)
        reply = await committer.serve_change(ChangeCluster(WITHDRAW, Index(0)))
        await later
        self.assertIsInstance(reply, replies.Overtaken)
        self.assertEqual(state_machine.cluster.evacuations.domains, {'wien-a'})


class AppliedHistoryTest(unittest.TestCase):
    """After a pause, what was applied before it is still known."""

    @parameterized.expand(SAMPLES)
    def test_settled_index(
        self, _name: str, indexes: list[int], settled: int
    ) -> None:
        history = AppliedHistory()
        for index in indexes:
            history.record(Seconds(1), Index(index))
        self.assertEqual(history.settled, settled)

    @parameterized.expand([(0.9, 0), (1, 3), (1.9, 3), (5, 9)])
    def test_index_at_a_time(self, at: float, index: int) -> None:
        history = AppliedHistory()
        history.record(Seconds(1), Index(3))
        history.record(Seconds(2), Index(9))
        self.assertEqual(history.applied_at(at), index)


class PendingCommandsTest(unittest.TestCase):
    """An order waits for pending ones of the same domain only."""

    @parameterized.expand(
        [
            ('opposite', WITHDRAW, True),
            ('same', EVACUATE, True),
            ('other', commands.SetEvacuation('tirol-a', True), False),
            ('removal', commands.RemoveTargets(('a',)), False),
        ]
    )
    def test_precede(self, _name: str, command: Any, precedes: bool) -> None:
        pending = PendingCommands()
        with pending.track(EVACUATE):
            self.assertIs(pending.precede(command), precedes)
        self.assertFalse(pending.precede(command))

    def test_removal_waits_for_the_report_of_a_start(self) -> None:
        pending = PendingCommands()
        with pending.track(commands.ReportTarget(record('a'))):
            for target, precedes in (('a', True), ('b', False)):
                removal = commands.RemoveTargets((target,))
                self.assertIs(pending.precede(removal), precedes)


class RedirectionTest(AsyncHTTPTestCase):
    """A sender that is still there follows a redirection and is served."""

    def get_app(self) -> Any:
        """Return the API of a leader that has just learnt of a change."""
        operations, state_machine = _operations()
        self.listening = operations._process.settings.listening
        state_machine.apply(Index(7), EVACUATE)
        return make_application(operations, Metrics())

    def test_order_of_a_sender_that_is_still_there(self) -> None:
        self.listening.operators = f'127.0.0.1:{self.get_http_port()}'
        for follow_redirects, status in (
            (False, http.HTTPStatus.TEMPORARY_REDIRECT),
            (True, http.HTTPStatus.OK),
        ):
            answer = self.fetch(
                '/-/evacuations/wien-a',
                method='DELETE',
                follow_redirects=follow_redirects,
            )
            self.assertEqual(answer.code, status)

    @parameterized.expand(['x', '-1', '1.5', '7' * 16])
    def test_malformed_index(self, text: str) -> None:
        answer = self.fetch(
            f'/-/evacuations/wien-a?known={text}', method='DELETE'
        )
        self.assertEqual(answer.code, http.HTTPStatus.BAD_REQUEST)
        self.assertIn(b'known: ', answer.body)


class _Group:
    """A leader that has applied nothing before ``applied_for`` seconds ago."""

    def __init__(
        self, state_machine: Any, applied_for: float, is_waiting: bool
    ) -> None:
        self.is_leader = True
        self.led_since = Index(5)
        self.applied_index = Index(7)
        self.history = AppliedHistory()
        if applied_for:
            self.history.record(Seconds(_now() - applied_for), Index(7))
        self.replica = SimpleNamespace(state=SimpleNamespace(commit=8))
        self.state_machine = state_machine
        self._is_waiting = is_waiting

    async def propose(self, command: Any, _timeout: float) -> Any:
        """Apply a command, a little later if the leader is waiting."""
        if self._is_waiting:
            await asyncio.sleep(0.01)
        return Success(self.state_machine.apply(Index(8), command))


def _now() -> Seconds:
    return Seconds(NOW + time.monotonic())


def _operations(
    applied_for: float = 0, is_waiting: bool = False
) -> tuple[Any, ClusterStateMachine]:
    state_machine = ClusterStateMachine()
    process = SimpleNamespace(
        clock=SimpleNamespace(now=_now),
        events=unittest.mock.Mock(),
        settings=SimpleNamespace(
            region_by_domain={'wien-a': 'wien'},
            listening=SimpleNamespace(operators=''),
        ),
    )
    group = _Group(state_machine, applied_for, is_waiting)
    operations = ClusterOperations(
        process,  # type: ignore[arg-type]
        group,  # type: ignore[arg-type]
        state_machine,
        DocumentFormat(),
    )
    return operations, state_machine


def _leader(
    applied_for: float = 0, is_waiting: bool = False
) -> tuple[ClusterCommitter, ClusterStateMachine]:
    operations, state_machine = _operations(applied_for, is_waiting)
    return operations.committer, state_machine

"""Rollouts in the log, on the wire and at the gate of an instance."""

import pathlib
import tempfile
import unittest.mock
from typing import Any

from parameterized import parameterized
from returns.result import Success

from tests.edge_samples import NOW
from tests.platform_samples import REPORT, SETTINGS, changed, encoded, without
from tests.rollout_simulation import record
from turmericmast.clock import HybridClock, SystemClock
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.commands import (
    DecideRollout,
    OrderRollout,
    RemoveTargets,
    ReportTarget,
)
from turmericmast.cluster.records import ClusterFeed, TargetPhase
from turmericmast.disk.store import FileStore
from turmericmast.edge.freshness import Freshness
from turmericmast.exceptions import ConflictError
from turmericmast.ids import TargetId
from turmericmast.instancesettings import Contract
from turmericmast.metrics import Metrics
from turmericmast.platform.documents import parse_report
from turmericmast.platform.settings import parse_instance_settings
from turmericmast.programs.groupmember import GroupMember
from turmericmast.replica.messages import Entry, EntryKind
from turmericmast.replica.state import ReplicaConfig
from turmericmast.rollout.gates import VersionGates
from turmericmast.rollout.membership import CONTACT_WINDOW, KnowingMembers
from turmericmast.rollout.records import RolloutState, ServiceRollout
from turmericmast.wire.codec import decode, encode
from turmericmast.wire.link import ProcessContext

RUNNING, COMPLETED, ROLLED_BACK = (
    RolloutState.running,
    RolloutState.completed,
    RolloutState.rolled_back,
)
V1 = ReportTarget(record('1', 'v1'))
V2 = ReportTarget(record('2', 'v2', born=11))
V1_DRAINS = ReportTarget(record('1', 'v1', TargetPhase.draining, sequence=2))
V1_LEAVES = RemoveTargets(('1',))
TO_V2 = OrderRollout('stock', 'v2', 12000)
TO_V3 = OrderRollout('stock', 'v3', 12000)


def decide(
    state: RolloutState, share: int = 50, order: int = 3, elapsed: int = 100
) -> DecideRollout:
    """Return a decision about the rollout that the third entry ordered."""
    return DecideRollout('stock', order, state, share, elapsed, 'evidence')


HISTORIES = [
    # name, entries, current version, state, version rolled out, share
    ('first_version', [V1], 'v1', RolloutState.none, '', 0),
    ('other_version_beside', [V1, V2], 'v1', RolloutState.none, '', 0),
    ('ordered', [V1, V2, TO_V2], 'v1', RUNNING, 'v2', 0),
    ('ordered_again', [V1, V2, TO_V2, TO_V2], 'v1', RUNNING, 'v2', 0),
    ('another_order', [V1, V2, TO_V2, TO_V3], 'v1', RUNNING, 'v2', 0),
    ('step', [V1, V2, TO_V2, decide(RUNNING)], 'v1', RUNNING, 'v2', 50),
    (
        'late_step_of_another_leader',
        [V1, V2, TO_V2, decide(RUNNING, 150), decide(RUNNING, 50)],
        'v1',
        RUNNING,
        'v2',
        150,
    ),
    (
        'completed',
        [V1, V2, TO_V2, decide(COMPLETED, 1000)],
        'v2',
        COMPLETED,
        'v2',
        1000,
    ),
    (
        'order_arrives_again_after_completion',
        [V1, V2, TO_V2, decide(COMPLETED, 1000), TO_V2],
        'v2',
        COMPLETED,
        'v2',
        1000,
    ),
    (
        'order_arrives_again_after_rollback',
        [V1, V2, TO_V2, decide(ROLLED_BACK, 0), TO_V2],
        'v1',
        ROLLED_BACK,
        'v2',
        0,
    ),
    (
        'decision_after_the_outcome',
        [V1, V2, TO_V2, decide(ROLLED_BACK, 0), decide(COMPLETED, 1000)],
        'v1',
        ROLLED_BACK,
        'v2',
        0,
    ),
    (
        'decision_about_an_earlier_rollout',
        [V1, V2, TO_V2, decide(COMPLETED, 1000, order=2)],
        'v1',
        RUNNING,
        'v2',
        0,
    ),
    (
        'next_rollout',
        [V1, V2, TO_V2, decide(ROLLED_BACK, 0), TO_V3],
        'v1',
        RUNNING,
        'v3',
        0,
    ),
    (
        'current_version_ordered',
        [V1, V2, OrderRollout('stock', 'v1', 1)],
        'v1',
        COMPLETED,
        'v1',
        1000,
    ),
    ('replaced', [V1, V2, V1_DRAINS], 'v2', RolloutState.none, '', 0),
    ('replaced_in_turn', [V1, V1_LEAVES, V2], 'v2', RolloutState.none, '', 0),
    ('gone', [V1, V1_LEAVES], 'v1', RolloutState.none, '', 0),
    (
        'old_targets_lost_during_a_rollout',
        [V1, V2, TO_V2, V1_LEAVES],
        'v1',
        RUNNING,
        'v2',
        0,
    ),
    (
        'old_targets_lost_after_a_rollback',
        [V1, V2, TO_V2, decide(ROLLED_BACK, 0), V1_LEAVES],
        'v1',
        ROLLED_BACK,
        'v2',
        0,
    ),
]
OLD_REPORT = bytes.fromhex(
    '0c561c18016116141602180573746f636b180b31302e302e302e313a383018077469'
    '726f6c2d61150818057265616479000000'
)
"""``ReportTarget`` of a target of ``stock`` as 7a4f2c6 encodes it."""
OLD_SNAPSHOT = bytes.fromhex(
    '0c6216101c16001800180000190c1918067769656e2d61191c180161161416021805'
    '73746f636b180b31302e302e302e313a383018077469726f6c2d6115081805726561'
    '647900190c190c190c0000'
)
"""``ClusterSnapshot`` with that target, as 7a4f2c6 encodes it."""
OLD_FEED = bytes.fromhex(
    '0c781610112918067769656e2d61191c18016116141602180573746f636b180b3130'
    '2e302e302e313a383018077469726f6c2d61150818057265616479001908190c1908'
    '190c0000'
)
"""``ClusterFeed`` of the same state."""
OLD_WATCH = bytes.fromhex(
    '0c681c1801651801311804653a383018077469726f6c2d6118057469726f6c180773'
    '657276696e671804653a38311806646972656374001606110000'
)
"""``WatchCluster`` of an instance, as 7a4f2c6 encodes it."""
OLD_HEARD = bytes.fromhex('0c6c19180161191801650000')
"""``Heard`` of one target and one instance, as 7a4f2c6 encodes it."""
UNKNOWN_COMMAND = bytes.fromhex('0c90030000')
"""A ``Body`` with an empty struct as field 200."""
VERSIONS = [
    ('told', REPORT, 'v1'),
    ('none', without(REPORT, 'info.version'), ''),
    ('number', changed(REPORT, 'info.version', 7), ''),
    ('empty', changed(REPORT, 'info.version', ''), ''),
    ('too_long', changed(REPORT, 'info.version', 'v' * 999), ''),
]
CONTRACTS = [
    ('none', without(SETTINGS, 'seeds') | {'seeds': []}, False),
    ('others', {**SETTINGS, 'contracts': ['quota', 7]}, False),
    ('rollout', {**SETTINGS, 'contracts': ['quota', 'rollout']}, True),
    ('no_list', {**SETTINGS, 'contracts': 'rollout'}, False),
]


def play(entries: list[Any]) -> tuple[Cluster, list[Any]]:
    """Apply entries in turn; return the cluster and the outcomes."""
    cluster = Cluster()
    return cluster, [
        cluster.apply(index, entry)
        for index, entry in enumerate(entries, start=1)
    ]


class RolloutStateTest(unittest.TestCase):
    """Entries of the log lead to one state, in whatever order they come."""

    # Guards against a second rollout by an order that was sent again, two
    # outcomes by two leaders, and a service without a version.
    @parameterized.expand(HISTORIES)
    def test_history(
        self,
        _name: str,
        entries: list[Any],
        current: str,
        state: RolloutState,
        version: str,
        share: int,
    ) -> None:
        cluster, _ = play(entries)
        shown = cluster.rollouts.find('stock')
        self.assertEqual(shown.current, current)
        self.assertIs(shown.state, state)
        self.assertEqual(shown.target_version, version)
        self.assertEqual(shown.share, share)

    @parameterized.expand(HISTORIES)
    def test_snapshot_and_feed(
        self, _name: str, entries: list[Any], *_expected: Any
    ) -> None:
        # Guards against an outcome that is lost with the processes.
        cluster, _ = play(entries)
        restored = Cluster()
        restored.restore(decode(encode(cluster.snapshot())).unwrap())
        known = cluster.rollouts.table.record_by_key
        self.assertEqual(restored.rollouts.table.record_by_key, known)
        sent: ClusterFeed = decode(encode(cluster.build_feed(0))).unwrap()
        self.assertEqual(sent.rollouts, tuple(known.values()))

    def test_other_order_is_a_conflict(self) -> None:
        _, outcomes = play([V1, V2, TO_V2, TO_V2, TO_V3])
        self.assertEqual(outcomes[3], Success(False))
        self.assertIsInstance(outcomes[4].failure(), ConflictError)


class OlderBuildTest(unittest.IsolatedAsyncioTestCase):
    """What older builds have written or send is read, and vice versa."""

    def test_log_and_snapshot(self) -> None:
        # Guards against a member that cannot start from its own data.
        for octets in (OLD_REPORT, OLD_SNAPSHOT):
            cluster = Cluster()
            read = decode(octets).unwrap()
            if isinstance(read, ReportTarget):
                cluster.apply(1, read)
            else:
                cluster.restore(read)
            known = cluster.registry.table.record_by_key[TargetId('a')]
            self.assertEqual(known.version, '')
            self.assertEqual(cluster.rollouts.table.record_by_key, {})

    def test_messages(self) -> None:
        self.assertEqual(decode(OLD_WATCH).unwrap().evidence, ())
        self.assertEqual(decode(OLD_FEED).unwrap().rollouts, ())

    def test_feed_of_an_older_member(self) -> None:
        # Guards against a gate that opens while an older member is asked.
        gates = VersionGates(Freshness(), lambda *_: 0)
        running = ServiceRollout('stock', 'v1', RUNNING, 'v2', 3)
        gates.apply((running,))
        gates.apply(decode(OLD_FEED).unwrap().rollouts)
        self.assertEqual(gates.gate('stock').rollout, running)

    async def test_unknown_entry_is_skipped(self) -> None:
        # Guards against the loss of the entries that follow one of a newer
        # build in the same batch.
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        store = self.enterContext(FileStore(pathlib.Path(folder.name) / 'd'))
        state_machine = unittest.mock.Mock()
        events = unittest.mock.Mock()
        member = GroupMember(
            ProcessContext('m1', HybridClock(SystemClock()), Metrics()),
            ReplicaConfig('m1', ('m1',)),
            store,
            state_machine,
            SystemClock(),
            events,
        )
        payloads = (UNKNOWN_COMMAND, encode(V1))
        for index, payload in enumerate(payloads, start=1):
            member._apply(Entry(index, 1, EntryKind.command, payload))
        state_machine.apply.assert_called_once_with(2, V1)
        events.write.assert_called_once()
        self.assertEqual(events.write.call_args.args, ('entry_skipped',))

    @parameterized.expand(VERSIONS)
    def test_version_of_a_report(
        self, _name: str, report: Any, version: str
    ) -> None:
        # Guards against a target that is refused for its version.
        parsed = parse_report('i-1', encoded(report)).unwrap()
        self.assertEqual(parsed.version, version)

    @parameterized.expand(CONTRACTS)
    def test_contracts(self, _name: str, settings: Any, in_force: bool) -> None:
        contracts = parse_instance_settings(settings).unwrap().contracts
        self.assertIs(Contract.rollout in contracts, in_force)


OLDER_MEMBERS = [
    # name, members that told, members in contact, those that are older
    ('all_know', ('b', 'c'), ('b', 'c'), ()),
    ('one_is_older', ('b',), ('b', 'c'), ('c',)),
    ('one_is_lost', ('b',), ('b',), ()),
    ('none_has_told_yet', (), ('b', 'c'), ('b', 'c')),
]


class OlderMemberTest(unittest.TestCase):
    """No rollout begins while a member in contact may not know its entries.

    Guards against a member of an older build that loses entries of the log.
    """

    @parameterized.expand(OLDER_MEMBERS)
    def test_members(
        self,
        _name: str,
        told: tuple[str, ...],
        in_contact: tuple[str, ...],
        older: tuple[str, ...],
    ) -> None:
        knowing = KnowingMembers()
        knowing.record('', NOW)
        for member in told:
            knowing.record(member, NOW - CONTACT_WINDOW / 2)
        contacts = {member: NOW - 0.1 for member in in_contact}
        contacts['lost'] = NOW - 60
        self.assertEqual(knowing.older(contacts, NOW), older)

    def test_report_of_an_older_member(self) -> None:
        self.assertEqual(decode(OLD_HEARD).unwrap().rollout_member, '')

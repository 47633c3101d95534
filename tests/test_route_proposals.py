"""Lines of a core member about the route documents that operators send."""

import contextlib
import hashlib
import unittest.mock
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Result, Success

from tests.platform_samples import ROUTES, changed, encoded
from turmericmast.clock import SystemClock
from turmericmast.cluster.commands import ProposeRoutes
from turmericmast.cluster.records import RoutesRecord
from turmericmast.exceptions import (
    ConflictError,
    NotLeaderError,
    SettingsError,
)
from turmericmast.ids import Digest, Index, Version
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs.clusteroperations import (
    DIGEST_LENGTH,
    MAX_REASON_LENGTH,
    ClusterOperations,
)
from turmericmast.programs.clusterstate import ClusterStateMachine

ORDER: Any = changed(ROUTES, 'routes.order.host', '')['routes']['order']
GOOD = encoded(ROUTES)
NO_TIMEOUT = encoded(changed(ROUTES, 'routes.look.timeout_s', 0))
MANY_FAULTS = encoded(
    changed(
        ROUTES,
        'routes',
        {f'r-{index}': ORDER for index in range(100)},
    ),
)
CAUGHT_UP = Success(Index(1))
NO_LEADER = Failure(NotLeaderError('no leader', step='ask leader'))
CONFLICT = Failure(ConflictError('another version', step='propose routes'))

CHECKED_AGAIN = [
    # name, document, digest accepted before, whether caught up, error
    ('accepted_by_an_older_build', NO_TIMEOUT, NO_TIMEOUT, CAUGHT_UP, None),
    ('never_accepted', NO_TIMEOUT, None, CAUGHT_UP, SettingsError),
    ('another_accepted', NO_TIMEOUT, GOOD, CAUGHT_UP, SettingsError),
    ('not_known', NO_TIMEOUT, None, NO_LEADER, NotLeaderError),
    ('unreadable', GOOD[:-9], None, NO_LEADER, SettingsError),
    ('valid', GOOD, None, NO_LEADER, None),
]

OUTCOMES = [
    ('accepted', GOOD, Success(True), '', 7),
    ('conflict', GOOD, CONFLICT, 'another version', 7),
    ('invalid', NO_TIMEOUT, Success(True), 'routes.look.timeout', None),
    ('cut_short', GOOD[:-9], Success(True), 'not valid JSON', None),
    ('many_faults', MANY_FAULTS, Success(True), 'routes.r-0.host', None),
]


def _operations(
    state_machine: ClusterStateMachine, events: Any
) -> ClusterOperations:
    return ClusterOperations(
        SimpleNamespace(
            events=events,
            clock=SystemClock(),
            settings=SimpleNamespace(region_by_domain={}),
        ),  # type: ignore[arg-type]
        unittest.mock.Mock(),
        state_machine,
        DocumentFormat(),
    )


@contextlib.contextmanager
def _answering(
    operations: ClusterOperations,
    committed: Result[Any, Any],
    caught_up: Result[Any, Any],
) -> Iterator[None]:
    """Replace the leader of the group."""
    with (
        unittest.mock.patch.object(
            operations,
            'change',
            unittest.mock.AsyncMock(return_value=committed),
        ),
        unittest.mock.patch.object(
            operations.committer,
            'catch_up',
            unittest.mock.AsyncMock(return_value=caught_up),
        ),
    ):
        yield


class ProposalsTest(unittest.IsolatedAsyncioTestCase):
    """Each document that is sent leaves one bounded line with its outcome."""

    # Guards against an invalid version in force that no line of the core
    # members names (incident config-home).
    @parameterized.expand(OUTCOMES)
    async def test_line(
        self,
        _name: str,
        source: bytes,
        committed: Result[Any, Any],
        reason: str,
        version: int | None,
    ) -> None:
        events = unittest.mock.Mock()
        operations = _operations(ClusterStateMachine(), events)
        with _answering(operations, committed, CAUGHT_UP):
            outcome = await operations.propose_routes(source)
        events.write.assert_called_once()
        call = events.write.call_args
        self.assertEqual(call.args, ('routes_proposed',))
        fields = call.kwargs
        self.assertIs(fields['accepted'], isinstance(outcome, Success))
        self.assertIs(fields['accepted'], not reason)
        self.assertIn(reason, fields['reason'])
        self.assertLessEqual(len(fields['reason']), MAX_REASON_LENGTH)
        self.assertEqual(fields.get('version'), version)

    # Guards against an acknowledged change that is refused when it is sent
    # again, since a newer build has stricter checks.
    @parameterized.expand(CHECKED_AGAIN)
    async def test_document_sent_again(
        self,
        _name: str,
        source: bytes,
        accepted: bytes | None,
        caught_up: Result[Any, Any],
        error: type[Exception] | None,
    ) -> None:
        state_machine = ClusterStateMachine()
        if accepted:
            digest = hashlib.sha256(accepted).hexdigest()[:DIGEST_LENGTH]
            state_machine.cluster.route_versions.propose(
                ProposeRoutes(
                    RoutesRecord(Version(7), Digest(digest)), Version(0)
                ),
                Index(1),
            )
        operations = _operations(state_machine, unittest.mock.Mock())
        with _answering(operations, Success(True), caught_up):
            outcome = await operations.propose_routes(source)
        if error is None:
            self.assertIsInstance(outcome, Success)
        else:
            self.assertIsInstance(outcome.failure(), error)

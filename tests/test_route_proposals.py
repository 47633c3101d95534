"""Lines of a core member about the route documents that operators send."""

import unittest.mock
from types import SimpleNamespace
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Result, Success

from tests.platform_samples import ROUTES, changed, encoded
from turmericmast.exceptions import ConflictError
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs.clusteroperations import (
    MAX_REASON_LENGTH,
    ClusterOperations,
)

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
CONFLICT = Failure(ConflictError('another version', step='propose routes'))

OUTCOMES = [
    ('accepted', GOOD, Success(True), '', 7),
    ('conflict', GOOD, CONFLICT, 'another version', 7),
    ('invalid', NO_TIMEOUT, Success(True), 'routes.look.timeout', None),
    ('cut_short', GOOD[:-9], Success(True), 'not valid JSON', None),
    ('many_faults', MANY_FAULTS, Success(True), 'routes.r-0.host', None),
]


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
        operations = ClusterOperations(
            SimpleNamespace(events=events),  # type: ignore[arg-type]
            unittest.mock.Mock(),
            unittest.mock.Mock(),
            DocumentFormat(),
        )
        with unittest.mock.patch.object(
            operations,
            'change',
            unittest.mock.AsyncMock(return_value=committed),
        ):
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

"""The interface for operators of rollouts, and its command."""

import unittest.mock
from types import SimpleNamespace
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Success
from tornado.testing import AsyncHTTPTestCase, gen_test

from turmericmast.exceptions import (
    ConflictError,
    NotLeaderError,
    SettingsError,
)
from turmericmast.metrics import Metrics
from turmericmast.platform.coreapi import make_application
from turmericmast.programs.rolloutcommand import run_command
from turmericmast.rollout.records import RolloutState, ServiceRollout

ORDER = ('order', 'stock', 'v2', '12')
NO_LEADER = Failure(NotLeaderError('no leader', step='ask leader'))
CONFLICT = Failure(ConflictError('moved to v3', step='order rollout'))
UNKNOWN = Failure(SettingsError('service: unknown', step='order rollout'))
ENDED = ServiceRollout(
    'stock', 'v2', RolloutState.completed, 'v2', 3, 12000, 1000, 8000, 'good'
)
NONE = ServiceRollout('stock')

COMMANDS = [
    # name, arguments, outcomes at the member, exit status, text
    ('accepted', ORDER, [Success(True)], 0, 'accepted'),
    ('accepted_later', ORDER, [NO_LEADER, Success(True)], 0, 'accepted'),
    ('conflict', ORDER, [CONFLICT], 1, 'moved to v3'),
    ('unknown', ORDER, [UNKNOWN], 1, 'service: unknown'),
    ('no_duration', (*ORDER[:3], 'null'), [], 1, 'duration_s'),
    ('zero_duration', (*ORDER[:3], '0'), [], 1, 'above 0'),
    ('no_number', (*ORDER[:3], 'NaN'), [], 1, 'duration_s as a finite'),
    ('shown', ('show', 'stock'), [Success(ENDED)], 0, 'completed: version v2'),
    ('none_ordered', ('show', 'stock'), [Success(NONE)], 1, 'no rollout'),
    (
        'followed',
        ('follow', 'stock'),
        [
            Success(
                ServiceRollout('stock', 'v1', RolloutState.running, 'v2', 3)
            ),
            NO_LEADER,
            Success(ENDED),
        ],
        0,
        'running: version v2, share 0%',
    ),
    ('no_command', (), [], 2, 'usage'),
]


class CommandTest(AsyncHTTPTestCase):
    """An operator gets an outcome, or a reason with field and fix.

    Guards against an order that is given up while it may still be accepted,
    and one that is rejected without a reason.
    """

    def get_app(self) -> Any:
        self.rollouts = unittest.mock.AsyncMock()
        operations = SimpleNamespace(
            rollouts=self.rollouts,
            committer=unittest.mock.Mock(),
        )
        return make_application(operations, Metrics())

    @parameterized.expand(COMMANDS)
    @gen_test
    async def test_command(
        self,
        _name: str,
        arguments: tuple[str, ...],
        outcomes: list[Any],
        status: int,
        text: str,
    ) -> None:
        self.rollouts.order.side_effect = outcomes
        self.rollouts.show.side_effect = outcomes
        written: list[str] = []
        member = self.get_url('')
        ended = await run_command(
            (member, *arguments) if arguments else (), written.append
        )
        self.assertIn(text, ''.join(written))
        self.assertEqual(ended, status)

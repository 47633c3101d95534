"""Log lines of requests that took more than one attempt."""

import unittest
from typing import Any

from parameterized import parameterized

from tests.edge_harness import EdgeHarness, Headers
from tests.edge_samples import target
from turmericmast.balance.load import LoadReport

FIRST_ANSWERS = [
    ('failure', 500, {}, '1:500:failed,2:200:whole', []),
    (
        'refusal',
        503,
        {'X-Not-Executed': '1'},
        '1:503:shed,2:200:whole',
        [],
    ),
    (
        'second_answer_to_another_request',
        200,
        {'X-Request-Id': 'q'},
        '1:200:cut_short,2:200:whole',
        [
            {
                'request': 'r',
                'target': '1',
                'reason': 'other_request',
                'status': 200,
                'names': 'q',
            }
        ],
    ),
]
"""Status and headers of the first target, and what the lines tell."""


class RequestLinesTest(unittest.IsolatedAsyncioTestCase):
    """The lines tell which attempt the caller's response came from."""

    # Guards against an incident like MIXED (issue 33) whose lines don't tell
    # which target answered.
    @parameterized.expand(FIRST_ANSWERS)
    async def test_answer_after_a_first_attempt(
        self,
        _name: str,
        status: int,
        headers: Headers,
        ended: str,
        rejected: list[dict[str, Any]],
    ) -> None:
        harness = EdgeHarness(target('1'), target('2'))
        harness.view('2').update_load(LoadReport(3, 0, 4), harness.clock.now())
        harness.set_behaviour('1', status, headers)
        with harness.running():
            answer = await harness.call()
        lines = harness.logged('request_answered')
        self.assertEqual(answer.status, 200)
        self.assertEqual([line['ended'] for line in lines], [ended])
        self.assertEqual(harness.logged('response_rejected'), rejected)

    async def test_answer_at_the_first_attempt_writes_no_line(self) -> None:
        harness = EdgeHarness(target('1'))
        with harness.running():
            await harness.call()
        self.assertEqual(harness.logged('request_answered'), [])

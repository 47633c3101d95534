"""Targets that write an earlier response once more on a kept connection.

A repeated refusal must not pass for one of a request that was run, and a
repeated answer must not reach the next caller.
"""

import unittest

from parameterized import parameterized

from tests.entry_harness import EntryHarness
from tests.test_front import call

REPEATS = [
    ('refusal_before_an_order', '/shed', 'POST', True, (502, 'unknown')),
    ('refusal_without_ids', '/shed', 'POST', False, (201, 'yes')),
    ('answer_before_an_order', '/chunked', 'POST', True, (502, 'unknown')),
    ('answer_without_ids', '/chunked', 'POST', False, (201, 'yes')),
    ('answer_before_a_look_up', '/chunked', 'GET', True, (200, 'yes')),
]
"""Path of an earlier request, method of the next one, whether targets send the
ids of attempts back, and the status and outcome of the next request."""


class RepeatedResponseTest(unittest.IsolatedAsyncioTestCase):
    """A response counts only for the request that it answers."""

    @parameterized.expand(REPEATS)
    async def test_earlier_response_is_not_taken(
        self,
        _name: str,
        earlier: str,
        method: str,
        echoes: bool,
        expected: tuple[int, str],
    ) -> None:
        async with EntryHarness(targets=1) as harness:
            target = harness.targets[0]
            target.echoes = echoes
            await call(harness, '/stock/ok')
            await call(harness, f'/stock{earlier}')
            target.repeats = True
            body = b'x' if method == 'POST' else None
            answer = await call(harness, '/stock/ok', method, body)
            outcome = (answer.code, answer.headers['Turmericmast-Ran'])
            self.assertEqual(outcome, expected)
            self.assertNotIn(b'hello', answer.body)
            runs = [run for run in target.runs if run[0] == 'POST']
            self.assertLessEqual(len(runs), 1)

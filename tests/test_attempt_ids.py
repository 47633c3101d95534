"""Attempts that bear the same id, so that a late response counts for both."""

import asyncio
import dataclasses
import itertools
import unittest

from parameterized import parameterized

from tests.edge_harness import EdgeHarness, unsplit_document
from tests.edge_samples import feed, instance, target
from tests.entry_harness import EntryHarness
from tests.test_front import call

CALLS = 3
"""Calls of a test, each with one attempt or more."""
HEADERS = [
    ('none', {}),
    ('id_of_an_attempt', {'Turmericmast-Call': '0123456789abcdef-1'}),
    ('forwarded_by_an_entry', {'Turmericmast-Hops': '1'}),
    (
        'forwarded_with_the_id_of_an_attempt',
        {'Turmericmast-Hops': '1', 'Turmericmast-Call': '0123456789abcdef-1'},
    ),
]
"""Headers of the caller, or of the entry that forwards the call."""
CASES = [
    (f'{name}_{kind}', headers, kind)
    for (name, headers), kind in itertools.product(HEADERS, ('ok', 'shed'))
]


class AttemptIdTest(unittest.IsolatedAsyncioTestCase):
    """An entry names each attempt at a target anew."""

    # Guards against a late response that is taken for that to a later attempt
    # of the same call, to another call, or to one by another entry.
    @parameterized.expand(CASES)
    async def test_ids_differ(
        self, _name: str, headers: dict[str, str], kind: str
    ) -> None:
        async with EntryHarness(targets=2) as harness:
            for _ in range(CALLS):
                await call(harness, f'/stock/{kind}', headers=headers)
            attempts = [
                attempt for each in harness.targets for attempt in each.attempts
            ]
        self.assertGreaterEqual(len(attempts), CALLS)
        self.assertEqual(len(set(attempts)), len(attempts))
        for attempt in attempts:
            self.assertRegex(attempt, '^[0-9a-f]{16}-[1-9]$')
        self.assertNotIn('0123456789abcdef-1', attempts)


class RestartedTargetTest(unittest.IsolatedAsyncioTestCase):
    """A target that starts again under its id gets no second attempt."""

    # Guards against a request id that reaches a target of one id twice, since
    # the target was announced anew while the first attempt ran.
    @parameterized.expand(
        [
            ('failed', 500, {}),
            ('rejected', 503, {'X-Not-Executed': '1'}),
            ('misdirected', 421, {}),
        ]
    )
    async def test_announced_while_an_attempt_runs(
        self, _name: str, status: int, headers: dict[str, str]
    ) -> None:
        first = target('1')
        harness = EdgeHarness(first)
        harness.set_behaviour('1', status, headers)
        harness.answering.clear()
        with harness.running():
            answer = asyncio.ensure_future(harness.call())
            while not harness.requests():
                await asyncio.sleep(0)
            again = dataclasses.replace(first, born=first.born + 1)
            harness.edge.apply(
                feed(instance('a'), targets=(again,), index=2),
                unsplit_document(),
            )
            harness.refresh()
            harness.answering.set()
            await answer
        self.assertEqual(harness.requests(), ['1'])

"""Announcements of targets over HTTP, and the budget for them."""

import json
import unittest.mock
from typing import Any

from parameterized import parameterized

from tests.entry_harness import EntryHarness
from tests.test_front import call
from tests.test_target import GOOD
from turmericmast.ids import TargetId
from turmericmast.target.budget import AnnouncementBudget


async def _announce(harness: EntryHarness, document: Any) -> tuple[int, Any]:
    body = document if isinstance(document, bytes) else json.dumps(document)
    octets = body if isinstance(body, bytes) else body.encode()
    answer = await call(harness, '/-/announce', 'POST', octets)
    return answer.code, json.loads(answer.body)


class AnnouncingTest(unittest.IsolatedAsyncioTestCase):
    """Announcements sent to an entry: placement, errors, state and limits."""

    async def test_new_target_is_placed(self) -> None:
        async with EntryHarness(0) as harness:
            status, reply = await _announce(harness, GOOD)
            self.assertEqual((200, False), (status, reply['owned']))
            self.assertEqual([harness.address], reply['announce_to'])
            harness.renew()
            status, reply = await _announce(harness, GOOD)
            self.assertTrue(reply['owned'])

    @parameterized.expand(
        [
            ('not_json', b'{', 'a JSON object is needed'),
            ('binary', b'\xff\xfe', 'a JSON object is needed'),
            ('nested_deeply', b'[' * 16_000, 'a JSON object is needed'),
            (
                'nested_deeply_in_a_field',
                {**GOOD, 'slots': json.loads(f'{"[" * 900}{"]" * 900}')},
                'a JSON object is needed',
            ),
            ('number_too_large', b'{"slots": 1e400}', 'a JSON object'),
            ('not_a_number', b'{"slots": NaN}', 'a JSON object is needed'),
            (
                'long_number',
                {**GOOD, 'in_flight': 10**400},
                'in_flight: write a whole number',
            ),
            ('port_0', {**GOOD, 'address': '127.0.0.1:0'}, 'write a port'),
            (
                'port_in_another_script',
                {**GOOD, 'address': '127.0.0.1:\u0668\u0660'},
                'write a port',
            ),
            (
                'lone_surrogate',
                {**GOOD, 'service': '\ud800'},
                'service: write 1 to 128',
            ),
            ('bad_field', {**GOOD, 'slots': 0}, 'slots: write a whole number'),
            ('too_long', {**GOOD, 'x': 'y' * 20_000}, 'send at most 16384'),
            ('other_region', {**GOOD, 'region': 'wien'}, 'own region'),
        ],
    )
    async def test_bad_announcement(
        self,
        _name: str,
        document: Any,
        expected: str,
    ) -> None:
        async with EntryHarness(1) as harness:
            status, reply = await _announce(harness, document)
            self.assertGreaterEqual(status, 400)
            self.assertIn(expected, json.dumps(reply))
            answer = await call(harness, '/stock/ok')
            self.assertEqual(200, answer.code)

    @parameterized.expand(
        [('leaving', 'leaving', 0), ('cold', 'cold', 1), ('ready', 'ready', 4)],
    )
    async def test_announced_state_applies_at_once(
        self,
        _name: str,
        state: str,
        limit: int,
    ) -> None:
        async with EntryHarness(0) as harness:
            document = {**GOOD, 'cold_slots': 1, 'in_flight': 0}
            await _announce(harness, document)
            harness.renew()
            await _announce(harness, document)
            target = harness.entry.ownership.target(TargetId('t1'))
            assert target is not None
            for _ in range(100):
                target._slow_start.record_success()  # noqa: SLF001
            await _announce(harness, {**document, 'state': state})
            self.assertEqual(limit, target.free_slots(harness.clock.now()))

    async def test_flood_is_refused_but_a_change_of_state_is_applied(
        self,
    ) -> None:
        async with EntryHarness(0) as harness:
            await _announce(harness, GOOD)
            harness.renew()
            # The budget refills with time, so the clock is stopped.
            frozen = harness.clock.now()
            with unittest.mock.patch.object(
                type(harness.clock),
                'now',
                lambda _clock: frozen,
            ):
                statuses = [
                    (await _announce(harness, GOOD))[0] for _ in range(60)
                ]
            self.assertIn(429, statuses)
            refused = statuses[statuses.index(429) :]
            self.assertEqual({429}, set(refused))
            leaving = {**GOOD, 'state': 'leaving'}
            self.assertEqual(200, (await _announce(harness, leaving))[0])


class AnnouncementBudgetTest(unittest.TestCase):
    """The announcement interval and the octets that a budget allows."""

    @parameterized.expand(
        [
            ('few', 1, 4096, 1.0),
            ('many', 100, 4096, 17.1),
            ('small_budget', 10, 256, 27.3),
        ],
    )
    def test_interval(
        self,
        _name: str,
        targets: int,
        limit: int,
        expected: float,
    ) -> None:
        interval = AnnouncementBudget().interval(targets, limit)
        self.assertAlmostEqual(expected, interval, delta=0.1)

    def test_admitted_octets_stay_within_the_budget(self) -> None:
        budget = AnnouncementBudget()
        spent = 0
        for tick in range(10_000):
            now = tick / 100
            if budget.admit(500, 4096, now):
                spent += 500
        self.assertLessEqual(spent, 4096 * 100 + 2 * 4096)
        self.assertGreater(spent, 4096 * 90)

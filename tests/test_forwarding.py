"""Calls that are forwarded to entries which lose their targets meanwhile.

Pattern: an entry is leaving, and its targets move to others. Calls that were on
their way to it must not fail while another entry has targets.
"""

import dataclasses
import unittest

from parameterized import parameterized

from tests.entry_harness import EntryHarness, RawTarget
from tests.test_endless_answers import EndlessTarget
from tests.test_front import call
from tests.test_target import SPEC
from turmericmast.ids import DomainId, Incarnation, InstanceId, TargetId
from turmericmast.region import commands

CALLS = 8
"""Calls of a test; which entry comes first is random."""
OTHER_DOMAIN = DomainId('tirol-b')


class ForwardingTest(unittest.IsolatedAsyncioTestCase):
    """A call that an entry refuses without a target goes to another one."""

    @parameterized.expand(
        [
            ('get', 'GET', None, 200),
            ('order', 'POST', b'x', 201),
        ]
    )
    async def test_another_entry_serves(
        self,
        _name: str,
        method: str,
        body: bytes | None,
        status: int,
    ) -> None:
        async with EntryHarness(targets=0) as harness:
            leaving, staying = RawTarget('e2'), RawTarget('e3')
            for other in (leaving, staying):
                _add_entry(harness, other.name, f'127.0.0.1:{other.port}')
                await other.start()
            leaving.always = 'shed'
            answers = [
                await call(harness, '/stock/ok', method, body)
                for _ in range(CALLS)
            ]
            leaving.stop()
            staying.stop()
        self.assertEqual({answer.code for answer in answers}, {status})
        self.assertEqual(len(staying.runs), CALLS)

    # Guards against a refusal without end that is streamed to the caller
    # while another entry can serve the call.
    async def test_another_entry_serves_after_a_long_refusal(self) -> None:
        refusal = b'HTTP/1.1 503 B\r\nTurmericmast-Ran: no\r\n\r\n'
        refusing = EndlessTarget(refusal, b'a')
        staying = RawTarget('e3')
        await staying.start()
        async with (
            EntryHarness(targets=0) as harness,
            refusing.run() as address,
        ):
            _add_entry(harness, 'e2', address)
            _add_entry(harness, staying.name, f'127.0.0.1:{staying.port}')
            answers = [
                await call(harness, '/stock/ok', 'POST', b'x')
                for _ in range(CALLS)
            ]
            staying.stop()
        self.assertTrue(refusing.is_closed.is_set())
        self.assertEqual({answer.code for answer in answers}, {201})
        self.assertEqual(len(staying.runs), CALLS)

    async def test_all_refuse(self) -> None:
        async with EntryHarness(targets=0) as harness:
            others = [RawTarget(name) for name in ('e2', 'e3')]
            for other in others:
                _add_entry(harness, other.name, f'127.0.0.1:{other.port}')
                other.always = 'shed'
                await other.start()
            answer = await call(harness, '/stock/ok', 'POST', b'x')
            for other in others:
                other.stop()
        self.assertEqual(
            (answer.code, answer.headers['Turmericmast-Ran']), (503, 'no')
        )
        self.assertEqual([len(other.runs) for other in others], [1, 1])


def _add_entry(harness: EntryHarness, name: str, address: str) -> None:
    """Open the session of another entry that owns a target."""
    domain = DomainId(f'{OTHER_DOMAIN}-{name}')
    harness.group.apply(
        commands.OpenSession(
            InstanceId(name), Incarnation('x'), domain, address
        )
    )
    spec = dataclasses.replace(
        SPEC, target=TargetId(f't-{name}'), domain=domain
    )
    harness.group.apply(commands.PlaceTarget(spec)).unwrap()
    harness.renew()

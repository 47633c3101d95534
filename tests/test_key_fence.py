"""Requests on keys run only while the instance knows the newest accounts.

Guards against a key that still works later than ``revoke_s`` after it was
taken away (CONFIG), on an instance that is cut off, frozen or restarted.
"""

import asyncio
import dataclasses
import unittest.mock
from typing import Any

from parameterized import parameterized
from tornado.httputil import HTTPHeaders, RequestStartLine

from tests.account_samples import ACCOUNTS, document_with_accounts
from tests.edge_harness import EdgeHarness
from tests.edge_samples import NOW, REGION_BY_DOMAIN, feed, instance, target
from turmericmast.edge.edge import Edge
from turmericmast.edge.keyfence import MARGIN_SHARE, KeyTrust
from turmericmast.instancesettings import Bounds
from turmericmast.route.document import RouteDocument
from turmericmast.web.edgeexchange import EdgeExchange
from turmericmast.web.keytrustwatch import KeyTrustWatch
from turmericmast.web.peerheaders import Forwarding
from turmericmast.web.requestreading import read_request

BOUND = 5.0
LAST = BOUND * (1 - MARGIN_SHARE) - 0.01
"""Age of a proof, in seconds, up to which requests on keys run."""
STALE, UNKNOWN = 503, 401

READS = [
    # name, age of the proof, path, key, expected status of a refusal
    ('fresh', 1, '/stock/1', 'key-farm', None),
    ('near_the_bound', LAST, '/stock/1', 'key-farm', None),
    ('cut_off', BOUND, '/stock/1', 'key-farm', STALE),
    ('restarted', None, '/stock/1', 'key-farm', STALE),
    # A version that this instance lacks may have added the key.
    ('unknown_key', 1, '/stock/1', 'key-gone', UNKNOWN),
    ('unknown_key_while_cut_off', BOUND, '/stock/1', 'key-gone', STALE),
    ('public', None, '/orders/1', '', None),
]
PLACES = [
    # name, age of the proof, trust, ready, addresses that it names
    ('fresh', 2.9, KeyTrust.fresh, True, {'a:80', 'b:80'}),
    ('ageing', 3.1, KeyTrust.ageing, False, {'b:80'}),
    ('stale', BOUND, KeyTrust.stale, False, set()),
    ('restarted', None, KeyTrust.stale, False, set()),
]
WITHOUT_FARM = {'press': ACCOUNTS['press']}
FARM_KEY_MOVED = {
    **ACCOUNTS,
    'farm': {'api_keys': ['x']},
    'press': {'api_keys': ['key-farm']},
}


def _edge(age: float | None, bound: float | None = BOUND) -> Edge:
    """Return an edge with accounts whose proof has an age in seconds."""
    edge = Edge(instance('a'), REGION_BY_DOMAIN, Bounds(revocation=bound))
    cluster = feed(instance('a'), instance('b'), targets=(target('1'),))
    edge.apply(cluster, document_with_accounts())
    if age is not None:
        edge.key_fence.freshness.record_proof(NOW - age, 0, NOW)
    return edge


class _Harness(EdgeHarness):
    """An edge with accounts and one target."""

    def __init__(self, age: float | None, document: RouteDocument) -> None:
        super().__init__(target('1'))
        self.edge = _edge(age)
        self.context.edge = self.edge
        self.apply(document)
        self.refresh()

    def apply(self, document: RouteDocument) -> None:
        """Let the edge learn of another configuration."""
        self.edge.apply(feed(instance('a'), targets=(target('1'),)), document)

    def prove(self) -> None:
        """Let the edge get a proof that is as young as can be."""
        self.edge.key_fence.freshness.record_proof(
            self.clock.time, 0, self.clock.time
        )

    def read_as(
        self,
        path: str = '/stock/1',
        key: str = 'key-farm',
        forwarding: Forwarding | None = None,
    ) -> Any:
        """Read a request on a key."""
        host = 'shop.example' if path.startswith('/stock') else 'pay.example'
        headers = HTTPHeaders({'Host': host, 'X-Request-Id': 'r'})
        if key:
            headers.add('Api-Key', key)
        start = RequestStartLine('GET', path, 'HTTP/1.1')
        return read_request(
            self.context, start, headers, self.clock.now(), forwarding
        )

    def exchange(self) -> tuple[EdgeExchange, Any]:
        """Return the exchange of a request that has just been read.

        Its deadline is long after the bound.
        """
        connection = unittest.mock.Mock()
        read = self.read_as().unwrap()
        call = dataclasses.replace(read.call, deadline=NOW + 10 * BOUND)
        incoming = dataclasses.replace(read, call=call)
        return EdgeExchange(self.context, connection, incoming), connection


def _status(connection: Any) -> int:
    return int(connection.write_headers.call_args.args[0].code)


def _harness(age: float | None = 0) -> _Harness:
    return _Harness(age, document_with_accounts())


class KeyFenceTest(unittest.TestCase):
    """An instance without a recent proof runs no request on a key."""

    @parameterized.expand(READS)
    def test_read(
        self,
        _name: str,
        age: float | None,
        path: str,
        key: str,
        status: int | None,
    ) -> None:
        read = _harness(age).read_as(path, key)
        found = None if status is None else read.failure().status
        self.assertEqual(found, status)

    def test_refusal_did_not_run_and_may_be_retried_soon(self) -> None:
        problem = _harness(None).read_as().failure()
        self.assertEqual(problem.ran.value, 'no')
        self.assertLess(problem.retry_after_ms, 1000)

    def test_forwarded_request_is_checked_by_the_receiver(self) -> None:
        read = _harness(None).read_as(forwarding=Forwarding('c', 1, 'stock'))
        self.assertEqual(read.failure().status, STALE)

    @parameterized.expand(PLACES)
    def test_callers_go_elsewhere(
        self,
        _name: str,
        age: float | None,
        trust: KeyTrust,
        ready: bool,
        addresses: set[str],
    ) -> None:
        edge = _edge(age)
        self.assertIs(edge.key_fence.trust(NOW), trust)
        self.assertEqual(edge.is_ready(NOW), ready)
        found = edge.resolve('shop.example', 'tirol', 'tirol-a', NOW)
        self.assertEqual(set(found.addresses), addresses)
        # All routes of this host are public.
        found = edge.resolve('pay.example', 'tirol', 'tirol-a', NOW)
        self.assertEqual(set(found.addresses), {'a:80', 'b:80'})

    def test_without_a_bound_nothing_changes(self) -> None:
        edge = _edge(None, bound=None)
        self.assertTrue(edge.is_ready(NOW))
        self.assertTrue(edge.key_fence.admits(NOW))
        self.assertFalse(edge.key_fence.freshness.is_wanted)


class WaitingRequestTest(unittest.IsolatedAsyncioTestCase):
    """A request that waited is checked again before it is passed on."""

    async def _run(self, harness: _Harness, exchange: EdgeExchange) -> None:
        exchange._body.mark_complete()
        with harness.running():
            await asyncio.wait_for(exchange._run(), 1)

    @parameterized.expand(
        [
            # name, seconds until the body is complete, accounts by then,
            # whether a proof came meanwhile, expected status
            ('in_time', 1, ACCOUNTS, False, 200),
            ('cut_off', BOUND, ACCOUNTS, False, STALE),
            ('proven_meanwhile', BOUND, ACCOUNTS, True, 200),
            ('key_revoked', 1, WITHOUT_FARM, True, UNKNOWN),
            ('key_of_another_account', 1, FARM_KEY_MOVED, True, UNKNOWN),
        ]
    )
    async def test_body(
        self, _name: str, wait: float, accounts: Any, proven: bool, status: int
    ) -> None:
        harness = _harness()
        exchange, connection = harness.exchange()
        harness.clock.time += wait
        harness.apply(document_with_accounts(accounts))
        if proven:
            harness.prove()
        harness.refresh()
        await self._run(harness, exchange)
        self.assertEqual(_status(connection), status)
        self.assertEqual(harness.requests(), ['1'] if status == 200 else [])

    # Guards against a process that is frozen after the last look at the clock
    # and before the first byte.
    async def test_frozen_while_connecting(self) -> None:
        harness = _harness()
        exchange, connection = harness.exchange()
        harness.connecting.clear()
        asyncio.get_running_loop().call_later(0.05, self._thaw, harness)
        await self._run(harness, exchange)
        self.assertEqual(_status(connection), STALE)
        self.assertEqual(harness.requests(), [])

    def _thaw(self, harness: _Harness) -> None:
        harness.clock.time += BOUND
        harness.refresh()
        harness.connecting.set()


class KeyTrustWatchTest(unittest.TestCase):
    """Each change of trust leaves one line, which names no key."""

    def test_lines(self) -> None:
        harness = _harness()
        watch = KeyTrustWatch(harness.context)
        for wait in (0, 1, 3, 0.5, 2, 1):
            harness.clock.time += wait
            watch.check()
        harness.prove()
        watch.check()
        lines = harness.logged('key_trust')
        trusts = [line['trust'] for line in lines]
        self.assertEqual(trusts, ['ageing', 'stale', 'fresh'])
        self.assertNotIn('key-farm', repr(harness.events.mock_calls))


class RetryTest(unittest.TestCase):
    """A request that was passed on in time may be repeated."""

    @parameterized.expand(
        [
            ('not_passed_on', False, BOUND, 'stale'),
            ('passed_on', True, BOUND, None),
            ('passed_on_long_ago', True, 10 * BOUND, None),
        ]
    )
    def test_check(
        self, _name: str, was_sent: bool, wait: float, expected: str | None
    ) -> None:
        harness = _harness()
        admission = harness.read_as().unwrap().admission
        if was_sent:
            admission.pass_on()
        found = admission.find_obstacle(
            NOW + wait, document_with_accounts().accounts
        )
        self.assertEqual(found.value if found else None, expected)


if __name__ == '__main__':
    unittest.main()

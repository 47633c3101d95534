"""The HTTP front end of an entry: answers, refusals and keyed requests."""

import asyncio
import contextlib
import hashlib
import json
from typing import Any
from unittest import IsolatedAsyncioTestCase, mock

from parameterized import parameterized
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from tests.entry_harness import BIG, BODY_TIMEOUT, EntryHarness
from turmericmast.entry.entry import Entry
from turmericmast.ids import ChangeId, Seconds, ServiceId
from turmericmast.region.commands import SetOutage
from turmericmast.region.records import OutageKind


async def call(
    harness: EntryHarness,
    path: str,
    method: str = 'GET',
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> HTTPResponse:
    client = AsyncHTTPClient(force_instance=True, max_body_size=2**30)
    with contextlib.closing(client):
        return await client.fetch(
            HTTPRequest(
                f'http://{harness.address}{path}',
                method=method,
                body=body,
                headers=headers,
                request_timeout=6,
                decompress_response=False,
                allow_nonstandard_methods=True,
            ),
            raise_error=False,
        )


def _digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


RETRIES = ('retries', (('loss', 'cut_short'),))
POST = b'POST /stock/ok HTTP/1.1\r\nHost: x\r\n'

ANSWERS = [
    ('get', 'GET', '/ok', None, 200, f'GET {_digest(b"")}'.encode()),
    ('post', 'POST', '/ok', b'x', 201, f'POST {_digest(b"x")}'.encode()),
    ('empty_post', 'POST', '/ok', b'', 201, f'POST {_digest(b"")}'.encode()),
    ('put', 'PUT', '/ok', b'y', 200, f'PUT {_digest(b"y")}'.encode()),
    ('large_post', 'POST', '/ok', BIG, 201, f'POST {_digest(BIG)}'.encode()),
    ('chunked', 'GET', '/chunked', None, 200, b'hello world'),
    ('no_content', 'GET', '/empty', None, 204, b''),
    ('head', 'HEAD', '/ok', None, 200, b''),
    ('error_from_target', 'GET', '/busy', None, 503, b'busy'),
    ('large', 'GET', '/big', None, 200, BIG),
    ('resumed', 'GET', '/cut-big', None, 200, BIG),
]

FAILURES = [
    ('shed', 'GET', '/shed', None, 503, 'no'),
    ('shed_post', 'POST', '/shed', b'x', 503, 'no'),
    ('lost_post', 'POST', '/crash', b'x', 502, 'unknown'),
    ('lost_empty_post', 'POST', '/crash', b'', 502, 'unknown'),
    ('lost_get', 'GET', '/crash', None, 502, 'unknown'),
    ('cut_post', 'POST', '/cut', b'x', 502, 'unknown'),
    ('undelimited', 'POST', '/undelimited', b'x', 502, 'unknown'),
]

BAD = [
    ('no_service', 'GET', '/', {}, 400, 'path: write /SERVICE/PATH'),
    ('unsupported_method', 'TRACE', '/stock/ok', {}, 400, 'method: use one of'),
    (
        'timeout_not_a_number',
        'GET',
        '/stock/ok',
        {'Turmericmast-Timeout-Ms': 'soon'},
        400,
        'Turmericmast-Timeout-Ms: write a whole number',
    ),
    (
        'too_many_hops',
        'GET',
        '/stock/ok',
        {'Turmericmast-Hops': '99'},
        400,
        'Turmericmast-Hops: write a whole number from 0',
    ),
    (
        'nested_too_deep',
        'GET',
        '/stock/ok',
        {'Turmericmast-Depth': '65'},
        400,
        'Turmericmast-Depth: write',
    ),
    (
        'long_key',
        'GET',
        '/stock/ok',
        {'Idempotency-Key': 'k' * 300},
        400,
        'Idempotency-Key: write 1 to 255 characters',
    ),
    ('unknown_service', 'GET', '/tents/ok', {}, 503, 'no target of tents'),
    ('unknown_page', 'GET', '/-/nothing', {}, 404, 'GET /-/addresses'),
    (
        'addresses_without_service',
        'GET',
        '/-/addresses',
        {},
        400,
        'add ?service=NAME',
    ),
]


class AnswerTest(IsolatedAsyncioTestCase):
    """Answers to callers, from targets that work and targets that fail."""

    @parameterized.expand(ANSWERS)
    async def test_answer_reaches_the_caller(
        self,
        _name: str,
        method: str,
        path: str,
        body: bytes | None,
        status: int,
        expected: bytes,
    ) -> None:
        async with EntryHarness() as harness:
            answer = await call(harness, f'/stock{path}', method, body)
            self.assertEqual(status, answer.code, answer.body)
            self.assertEqual(expected, answer.body or b'')
            self.assertEqual('yes', answer.headers['Turmericmast-Ran'])
            self.assertIn('X-Target', answer.headers)

    @parameterized.expand(FAILURES)
    async def test_failure_tells_whether_the_request_ran(
        self,
        _name: str,
        method: str,
        path: str,
        body: bytes | None,
        status: int,
        ran: str,
    ) -> None:
        async with EntryHarness() as harness:
            answer = await call(harness, f'/stock{path}', method, body)
            self.assertEqual(status, answer.code)
            self.assertEqual(ran, answer.headers['Turmericmast-Ran'])
            problem = json.loads(answer.body)
            self.assertEqual('send to target', problem['step'])
            self.assertEqual('stock', problem['peer'])
            good = await call(harness, '/stock/ok')
            self.assertEqual(200, good.code)

    @parameterized.expand([('with_body', b'x'), ('without_body', b'')])
    async def test_post_on_a_reused_connection_is_sent_once(
        self,
        _name: str,
        body: bytes,
    ) -> None:
        async with EntryHarness(1) as harness:
            await call(harness, '/stock/ok', 'POST', body)
            harness.targets[0].runs.clear()
            answer = await call(harness, '/stock/crash', 'POST', body)
            self.assertEqual(502, answer.code)
            self.assertEqual(1, len(harness.targets[0].runs))

    async def test_lost_get_is_retried_at_one_more_target(self) -> None:
        async with EntryHarness(3) as harness:
            answer = await call(harness, '/stock/crash')
            self.assertEqual(502, answer.code)
            runs = [len(target.runs) for target in harness.targets]
            self.assertEqual([0, 1, 1], sorted(runs))

    async def test_crashing_request_is_quarantined(self) -> None:
        async with EntryHarness(3) as harness:
            await call(harness, '/stock/crash')
            harness.renew()
            answer = await call(harness, '/stock/crash')
            self.assertEqual('Quarantined', json.loads(answer.body)['title'])
            self.assertEqual(
                2, sum(len(target.runs) for target in harness.targets)
            )
            other = await call(harness, '/stock/ok')
            self.assertEqual(200, other.code)

    async def test_answer_clears_a_suspect_request(self) -> None:
        async with EntryHarness(2) as harness:
            harness.targets[0].crashes = False
            harness.targets[1].crashes = False
            await call(harness, '/stock/crash')
            harness.targets[0].crashes = True
            for _ in range(6):
                answer = await call(harness, '/stock/crash')
                harness.renew()
                self.assertEqual(200, answer.code)

    async def test_calls_refill_the_retry_budget(self) -> None:
        """An exhausted budget permits a retry again after more calls."""
        async with EntryHarness(2) as harness:
            harness.adopt('{"defaults": {"retry_ratio": 0.5}}')
            service = harness.entry.ownership.service_by_id[ServiceId('stock')]
            while service.budget.try_withdraw():
                """Use up the reserve."""
            answer = await call(harness, '/stock/cut')
            self.assertEqual(502, answer.code)
            self.assertEqual(0, harness.metrics.count_by_name[RETRIES])
            for _ in range(3):
                await call(harness, '/stock/ok')
            await call(harness, '/stock/cut?again')
            self.assertEqual(1, harness.metrics.count_by_name[RETRIES])

    async def test_download_with_weak_tag_is_aborted(self) -> None:
        async with EntryHarness() as harness:
            with self.assertRaises(HTTPClientError):
                await call(harness, '/stock/cut-weak')

    async def test_deadline_is_kept(self) -> None:
        async with EntryHarness() as harness:
            headers = {'Turmericmast-Timeout-Ms': '300'}
            answer = await call(harness, '/stock/slow', headers=headers)
            self.assertEqual(504, answer.code)
            self.assertLess(answer.request_time or 9, 0.6)

    async def test_refused_connection_does_not_fail_calls(self) -> None:
        async with EntryHarness(2) as harness:
            harness.targets[0].stop()
            for _ in range(8):
                answer = await call(harness, '/stock/ok', 'POST', b'x')
                self.assertEqual(201, answer.code)

    async def test_caller_disconnect_cancels_the_request(self) -> None:
        async with EntryHarness(1) as harness:
            host, _, port = harness.address.rpartition(':')
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'GET /stock/slow HTTP/1.1\r\nHost: x\r\n\r\n')
            await asyncio.sleep(0.3)
            writer.close()
            await asyncio.sleep(0.3)
            self.assertEqual(1, harness.targets[0].cancelled)
            self.assertEqual(0, harness.context.running)


class RefusalTest(IsolatedAsyncioTestCase):
    """Refused and malformed requests, after which the entry still serves."""

    @parameterized.expand(BAD)
    async def test_bad_request(
        self,
        _name: str,
        method: str,
        path: str,
        headers: dict[str, str],
        status: int,
        expected: str,
    ) -> None:
        async with EntryHarness() as harness:
            answer = await call(harness, path, method, headers=headers)
            self.assertEqual(status, answer.code)
            self.assertIn(expected, answer.body.decode())
            good = await call(harness, '/stock/ok')
            self.assertEqual(200, good.code)

    @parameterized.expand(
        [
            ('not_http', b'\x16\x03\x01\x02\r\n\r\n'),
            ('length_not_a_number', b'%sContent-Length: x\r\n\r\n' % POST),
            (
                'two_lengths',
                b'%sContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx' % POST,
            ),
            ('huge_header', b'%sX: %s\r\n\r\n' % (POST, b'x' * 200_000)),
        ],
    )
    async def test_malformed_request_is_not_served(
        self, _name: str, octets: bytes
    ) -> None:
        async with EntryHarness() as harness:
            host, _, port = harness.address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(octets)
            with contextlib.suppress(ConnectionError):
                received = await asyncio.wait_for(reader.read(), 5)
                self.assertNotIn(b' 200 ', received[:20])
            writer.close()
            good = await call(harness, '/stock/ok')
            self.assertEqual(200, good.code)
            self.assertEqual(
                1, sum(len(target.runs) for target in harness.targets)
            )

    @parameterized.expand(
        [
            ('half_a_head', b'GET /stock/ok HTTP/1.1\r\nHo'),
            ('no_head', b''),
            ('half_a_body', b'%sContent-Length: 9\r\n\r\nhalf' % POST),
        ],
    )
    async def test_connection_of_incomplete_request_is_closed(
        self, _name: str, octets: bytes
    ) -> None:
        async with EntryHarness() as harness:
            host, _, port = harness.address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(octets)
            await asyncio.sleep(2 * BODY_TIMEOUT)
            harness.frontend.close_idle(older_than=BODY_TIMEOUT)
            self.assertEqual(b'', await asyncio.wait_for(reader.read(), 3))
            writer.close()
            good = await call(harness, '/stock/ok')
            self.assertEqual(200, good.code)
            self.assertEqual(
                1, sum(len(target.runs) for target in harness.targets)
            )

    @parameterized.expand(
        [
            ('head_read_in_part', POST[:9], POST[9:] + b'\r\n'),
            ('body_read_in_part', POST + b'Content-Length: 4\r\n\r\nha', b'lf'),
        ],
    )
    async def test_request_read_in_part_is_answered_before_the_end(
        self, _name: str, before: bytes, after: bytes
    ) -> None:
        async with EntryHarness() as harness:
            host, _, port = harness.address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(before)
            await asyncio.sleep(0.3)
            connections = harness.frontend.idle_connections
            ends_at = Seconds(connections._clock.now() + 5)
            drained = asyncio.ensure_future(connections.drain(ends_at))
            await asyncio.sleep(0.05)
            self.assertFalse(drained.done())
            writer.write(after)
            self.assertIn(
                b'HTTP/1.1 ', await asyncio.wait_for(reader.read(), 3)
            )
            await asyncio.wait_for(drained, 3)
            writer.close()

    @parameterized.expand(
        [('with_length', False), ('chunked', True)],
    )
    async def test_body_over_the_limit_is_refused(
        self, _name: str, chunked: bool
    ) -> None:
        async with EntryHarness() as harness:
            harness.adopt('{"defaults": {"max_body_bytes": 100000}}')
            headers = {'Transfer-Encoding': 'chunked'} if chunked else {}
            answer = await _raw_post(harness, headers, 300_000)
            self.assertIn(b' 413 ', answer[:20])
            good = await call(harness, '/stock/ok')
            self.assertEqual(200, good.code)

    async def test_home_regions_are_checked_before_the_body(self) -> None:
        exception = {
            'service': 'stock',
            'tenant': 'abroad',
            'reason': 'kept abroad',
            'values': {'home_regions': ['wien']},
        }
        document = json.dumps({'exceptions': [exception]})
        async with EntryHarness(document=document) as harness:
            headers = {'Turmericmast-Tenant': 'abroad'}
            answer = await _raw_post(harness, headers, 10_000, send_body=False)
            self.assertIn(b' 421 ', answer[:20])
            self.assertFalse(any(target.runs for target in harness.targets))

    @parameterized.expand([('expired', 5.0, 0), ('valid', 0.0, 1)])
    async def test_requests_need_a_valid_lease(
        self,
        _name: str,
        ago: float,
        runs: int,
    ) -> None:
        async with EntryHarness(1) as harness:
            harness.entry.lease.drop()
            harness.renew(ago=ago)
            answer = await call(harness, '/stock/ok', 'POST', b'x')
            self.assertEqual(runs, len(harness.targets[0].runs))
            ran = answer.headers['Turmericmast-Ran']
            self.assertEqual('yes' if runs else 'no', ran)

    async def test_unsent_request_does_not_pause_the_target(self) -> None:
        async with EntryHarness(1) as harness:
            with mock.patch.object(Entry, 'may_send', return_value=False):
                answer = await call(harness, '/stock/ok', 'POST', b'x')
            self.assertEqual('no', answer.headers['Turmericmast-Ran'])
            self.assertFalse(harness.targets[0].runs)
            target = next(harness.entry.ownership.targets())
            self.assertTrue(target.is_available(harness.clock.now()))

    async def test_domain_out_of_service_gets_no_request(self) -> None:
        async with EntryHarness() as harness:
            harness.group.apply(
                SetOutage(
                    ChangeId('c'),
                    OutageKind.domain,
                    'tirol-a',
                    out=True,
                    reason='x',
                ),
            )
            harness.renew()
            answer = await call(harness, '/stock/ok')
            self.assertEqual(503, answer.code)
            self.assertFalse(any(target.runs for target in harness.targets))


class KeyedTest(IsolatedAsyncioTestCase):
    """Requests with an idempotency key run at most once."""

    async def _post(
        self,
        harness: EntryHarness,
        path: str,
        body: bytes = b'x',
    ) -> HTTPResponse:
        headers = {'Idempotency-Key': 'k', 'Turmericmast-Timeout-Ms': '2000'}
        return await call(harness, f'/stock{path}', 'POST', body, headers)

    def _runs(self, harness: EntryHarness) -> int:
        return sum(len(target.runs) for target in harness.targets)

    async def test_resend_gets_the_stored_answer(self) -> None:
        async with EntryHarness() as harness:
            first = await self._post(harness, '/ok')
            second = await self._post(harness, '/ok')
            self.assertEqual(first.body, second.body)
            self.assertEqual(first.code, second.code)
            self.assertEqual('1', second.headers['Turmericmast-Replayed'])
            self.assertEqual(1, self._runs(harness))

    @parameterized.expand(
        [
            ('other_body', '/ok', b'y', 422, 'no', 1),
            ('lost', '/crash', b'x', 409, 'unknown', 1),
            ('shed_may_run_again', '/shed', b'x', 503, 'no', 0),
        ],
    )
    async def test_second_request_with_the_same_key(
        self,
        _name: str,
        path: str,
        body: bytes,
        status: int,
        ran: str,
        runs: int,
    ) -> None:
        async with EntryHarness() as harness:
            await self._post(harness, path)
            answer = await self._post(harness, path, body)
            self.assertEqual(status, answer.code, answer.body)
            self.assertEqual(ran, answer.headers['Turmericmast-Ran'])
            if runs:
                self.assertEqual(runs, self._runs(harness))

    async def test_unreachable_ledger_refuses_keyed_requests(self) -> None:
        async with EntryHarness() as harness:
            harness.group.is_silent = True
            answer = await self._post(harness, '/ok')
            self.assertEqual(503, answer.code)
            self.assertEqual('no', answer.headers['Turmericmast-Ran'])
            self.assertEqual(0, self._runs(harness))

    async def test_slow_ledger_does_not_hold_the_answer_past_the_deadline(
        self,
    ) -> None:
        async with EntryHarness() as harness:
            harness.group.settle_seconds = 2.6
            answer = await self._post(harness, '/ok')
            self.assertEqual(201, answer.code)
            self.assertLess(answer.request_time or 9, 2.3)
            await asyncio.sleep(0.8)
            again = await self._post(harness, '/ok')
            self.assertEqual(answer.body, again.body)
            self.assertEqual(1, self._runs(harness))

    async def test_disconnected_caller_gets_its_answer_later(self) -> None:
        async with EntryHarness(1) as harness:
            host, _, port = harness.address.rpartition(':')
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b'POST /stock/ok HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n'
                b'Content-Length: 1\r\n\r\nx',
            )
            await writer.drain()
            writer.close()
            await asyncio.sleep(0.2)
            answer = await self._post(harness, '/ok')
            self.assertEqual(201, answer.code)
            self.assertEqual(1, self._runs(harness))


async def _raw_post(
    harness: EntryHarness,
    headers: dict[str, str],
    size: int,
    *,
    send_body: bool = True,
) -> bytes:
    host, _, port = harness.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    chunked = 'Transfer-Encoding' in headers
    sent_headers: dict[str, Any] = {'Host': 'x', **headers}
    if not chunked:
        sent_headers['Content-Length'] = size
    lines = ''.join(
        f'{name}: {text}\r\n' for name, text in sent_headers.items()
    )
    writer.write(f'POST /stock/ok HTTP/1.1\r\n{lines}\r\n'.encode())
    if send_body:
        body = b'x' * size
        framed = b'%x\r\n%s\r\n0\r\n\r\n' % (size, body) if chunked else body
        writer.write(framed)
    with contextlib.suppress(ConnectionError):
        return await asyncio.wait_for(reader.read(400), 5)
    return b''

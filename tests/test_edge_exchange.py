"""How an edge handles a request, without a network."""

import unittest.mock
from collections.abc import Mapping
from typing import Any

from parameterized import parameterized
from returns.result import Success
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine

from tests.edge_harness import EdgeHarness
from tests.edge_samples import NOW, edge, feed, instance, target
from tests.platform_samples import ROUTES, changed, encoded
from turmericmast.balance.load import LoadReport
from turmericmast.call.call import Call, Loss, Ran
from turmericmast.cluster.crashes import SuspectRecord
from turmericmast.ids import Seconds
from turmericmast.metrics import Metrics
from turmericmast.platform.documents import DocumentFormat
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web import edgerefusals
from turmericmast.web.body import RequestBody
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgeexchange import EdgeExchange
from turmericmast.web.edgeresponse import EdgeResponse
from turmericmast.web.relay import RelayState
from turmericmast.web.requestreading import read_request
from turmericmast.web.transfer import ResponseHead

VALID_HEADERS = {'X-Request-Id': 'r', 'X-Response-Signature': 's'}

RESPONSES = [
    ('success', 200, VALID_HEADERS, None, None),
    ('cut_short', 200, VALID_HEADERS, Loss.cut_short, Loss.cut_short),
    (
        'response_to_another_request',
        200,
        {**VALID_HEADERS, 'X-Request-Id': 'q'},
        None,
        'cut',
    ),
    ('without_request_id', 200, {'X-Response-Signature': 's'}, None, 'cut'),
    ('unsigned_success', 200, {'X-Request-Id': 'r'}, None, 'cut'),
    (
        'content_encoded',
        200,
        {**VALID_HEADERS, 'Content-Encoding': 'gzip'},
        None,
        'cut',
    ),
    ('failed', 500, VALID_HEADERS, None, Loss.failed),
    (
        'refused_not_executed',
        503,
        {'X-Request-Id': 'r', 'X-Not-Executed': '1'},
        None,
        Loss.shed,
    ),
    (
        'earlier_refusal_once_more',
        503,
        {'X-Request-Id': 'q', 'X-Not-Executed': '1'},
        None,
        'cut',
    ),
    (
        'refusal_without_request_id',
        503,
        {'X-Not-Executed': '1'},
        None,
        'cut',
    ),
    ('misdirected', 421, {'X-Request-Id': 'r'}, None, Loss.shed),
    (
        'earlier_misdirection_once_more',
        421,
        {'X-Request-Id': 'q'},
        None,
        'cut',
    ),
    ('misdirection_without_request_id', 421, {}, None, 'cut'),
    ('unavailable_may_have_run', 503, VALID_HEADERS, None, Loss.failed),
    ('not_found', 404, VALID_HEADERS, None, None),
]
"""Status, headers, loss of the transfer and expected loss of the attempt.

'cut' stands for ``Loss.cut_short`` of a response that is rejected at its head.
"""


class ResponseTest(unittest.TestCase):
    """Only a complete response of the target to this request is forwarded."""

    @parameterized.expand(RESPONSES)
    def test_final_loss(
        self,
        _name: str,
        status: int,
        headers: dict[str, str],
        transfer_loss: Loss | None,
        wanted: Any,
    ) -> None:
        relay = unittest.mock.Mock()
        response = EdgeResponse(PlatformHeaders(), 'r', relay, lambda _: True)
        relay.on_head.return_value = True
        is_accepted = response.on_head(
            ResponseHead(status, '', HTTPHeaders(headers))
        )
        wanted = Loss.cut_short if wanted == 'cut' else wanted
        self.assertIs(response.final_loss(transfer_loss), wanted)
        is_invalid = wanted is Loss.cut_short and transfer_loss is None
        self.assertIs(bool(is_accepted), not is_invalid)
        is_forwarded = status == 200 and not is_invalid
        self.assertIs(relay.on_head.called, is_forwarded)

    def test_slower_response_is_dropped(self) -> None:
        response = EdgeResponse(
            PlatformHeaders(), 'r', unittest.mock.Mock(), lambda _: False
        )
        self.assertFalse(
            response.on_head(ResponseHead(200, '', HTTPHeaders(VALID_HEADERS)))
        )
        self.assertTrue(response.is_superseded)


class LeavingInstanceTest(unittest.TestCase):
    """An instance that shuts down refuses requests that it cannot finish.

    Guards against a planned shutdown that cuts off requests which it accepted
    late in the grace period.
    """

    @parameterized.expand(
        [
            ('enough_time', 3.0, {}, True),
            ('deadline_after_shutdown', 0.5, {}, False),
            ('route_without_a_deadline_of_the_caller', 1.0, {}, False),
            ('long_deadline', 2.1, {'X-Deadline-Ms': '8000'}, False),
            ('long_deadline_at_the_end', 8.0, {'X-Deadline-Ms': '8000'}, False),
            ('long_deadline_with_time', 8.2, {'X-Deadline-Ms': '8000'}, True),
            ('short_deadline', 0.7, {'X-Deadline-Ms': '500'}, True),
            ('stopping', 0.0, {'X-Deadline-Ms': '100'}, False),
        ],
    )
    def test_request_during_shutdown(
        self,
        _name: str,
        time_left: float,
        headers: dict[str, str],
        is_accepted: bool,
    ) -> None:
        context = _context()
        long_routes = encoded(changed(ROUTES, 'routes.look.timeout_s', 10))
        if headers:
            context.edge.apply(
                feed(targets=(target('1'),), index=2),
                DocumentFormat().parse(long_routes).unwrap(),
            )
        context.edge.leave(Seconds(NOW + time_left))
        read = _read(context, headers=headers)
        self.assertIs(isinstance(read, Success), is_accepted)
        if not is_accepted:
            problem = read.failure()
            self.assertEqual(problem.status, 503)
            self.assertEqual(problem.headers()['Connection'], 'close')
            self.assertEqual(problem.headers()['Retry-After'], '0.01')


class FailedAttemptsTest(unittest.TestCase):
    """A refusal tells whether the request ran, and what became of it."""

    @parameterized.expand(
        [
            ('rejected', (Loss.shed,), 503, Ran.no),
            ('not_reached', (Loss.never_sent, Loss.shed), 503, Ran.no),
            ('lost', (Loss.shed, Loss.connection_lost), 502, Ran.unknown),
            ('too_slow', (Loss.timed_out,), 504, Ran.unknown),
        ]
    )
    def test_problem(
        self, _name: str, losses: tuple[Loss, ...], status: int, ran: Ran
    ) -> None:
        call = Call(_read(_context()).unwrap().call)
        for loss in losses:
            call.start_attempt()
            call.record_failure(loss)
        problem = edgerefusals.attempts_failed(call, NOW, 0.05)
        self.assertEqual((problem.status, problem.ran), (status, ran))
        self.assertIn(f'{losses[-1].value} after {len(losses)}', problem.detail)
        self.assertEqual('Retry-After' in problem.headers(), ran is Ran.no)


FORWARDED_REQUESTS = [
    ('plain', '/stock/1', {}, [], []),
    ('query', '/stock/1?size=2&size=3', {}, [], []),
    ('escaped_path', '/stock/a%2Fb%20c/../d', {}, [], []),
    ('custom_header', '/stock/1', {'X-Own': 'a, b'}, ['X-Own: a, b'], []),
    (
        'hop_by_hop_header',
        '/stock/1',
        {'Connection': 'keep-alive, X-Hop', 'X-Hop': '1', 'X-Own': '2'},
        ['X-Own: 2'],
        ['X-Hop', 'Connection'],
    ),
    (
        'caller_sets_the_expected_target',
        '/stock/1',
        {'X-Expect-Instance': 'another'},
        ['X-Expect-Instance: 1'],
        ['X-Expect-Instance: another'],
    ),
    (
        'conflicting_body_length',
        '/stock/1',
        {'Transfer-Encoding': 'chunked', 'Content-Length': '3'},
        [],
        ['Transfer-Encoding'],
    ),
]


class TransferRequestTest(unittest.TestCase):
    """A target receives the caller's request without hop-by-hop headers.

    Headers that the edge sets replace those of the caller.
    """

    @parameterized.expand(FORWARDED_REQUESTS)
    def test_request(
        self,
        _name: str,
        path: str,
        headers: dict[str, str],
        forwarded: list[str],
        dropped: list[str],
    ) -> None:
        incoming = _read(_context(), path, headers).unwrap()
        sent = incoming.transfer_request(
            target('1'),
            RequestBody(),
            unittest.mock.Mock(),
            Seconds(0.8),
            PlatformHeaders(),
        )
        lines = [line.decode() for line in sent.headers]
        self.assertEqual(sent.url, f'http://10.0.0.1:80{path}')
        self.assertEqual((sent.method, sent.timeout), ('GET', 0.8))
        for line in ('X-Request-Id: r', 'X-Deadline-Ms: 800', *forwarded):
            self.assertIn(line, lines)
        for start in dropped:
            self.assertFalse([line for line in lines if line.startswith(start)])


class UnsentRequestTest(unittest.IsolatedAsyncioTestCase):
    """A request is not sent to a target after its caller has disconnected.

    Nor is one sent that is quarantined because it crashes targets.
    """

    async def test_caller_disconnects_during_probes(self) -> None:
        exchange = self._exchange()

        async def disconnect(views: Any, *_how: object) -> None:
            exchange.on_connection_close()
            for view in views:
                view.verify(0, NOW)
                view.update_load(LoadReport(0, 0, 4), NOW)

        prober = exchange._context.prober
        with (
            unittest.mock.patch.object(prober, 'probe', disconnect),
            unittest.mock.patch.object(EdgeExchange, '_start_attempt') as start,
        ):
            await exchange._serve()
        self.assertFalse(start.called)

    async def test_caller_disconnects_during_an_attempt(self) -> None:
        exchange = self._exchange()
        exchange._body.mark_complete()
        attempt = unittest.mock.Mock()
        exchange._attempts.add(attempt)
        exchange.on_connection_close()
        attempt.cancel.assert_called_once_with()
        with unittest.mock.patch.object(
            EdgeExchange, '_start_attempt'
        ) as start:
            await exchange._serve()
        self.assertFalse(start.called)

    async def test_quarantined_request_is_not_sent(self) -> None:
        exchange = self._exchange()
        exchange._body.mark_complete()
        request = exchange._incoming.call.fingerprint(b'')
        quarantine = exchange._context.edge.quarantine
        quarantine.update([SuspectRecord(request, 3, 5000)])
        with (
            unittest.mock.patch.object(EdgeExchange, '_start_attempt') as start,
            unittest.mock.patch.object(
                exchange._relay, 'send_problem'
            ) as refuse,
        ):
            await exchange._serve()
        self.assertFalse(start.called)
        problem = refuse.call_args.args[0]
        self.assertEqual((problem.status, problem.retry_after_ms), (503, 5000))

    def _exchange(self) -> EdgeExchange:
        context = _context()
        return EdgeExchange(
            context, unittest.mock.Mock(), _read(context).unwrap()
        )


class BrokenAttemptTest(unittest.IsolatedAsyncioTestCase):
    """An attempt that raises an error does not count as running for good.

    The target would seem to have one slot less until its next start.
    """

    async def test_unexpected_error(self) -> None:
        harness = EdgeHarness(target('1'))
        connection = unittest.mock.Mock()
        exchange = EdgeExchange(harness.context, connection, harness.read())
        exchange._body.mark_complete()
        broken = unittest.mock.Mock(side_effect=UnicodeError('no header'))
        with (
            unittest.mock.patch(
                'turmericmast.web.edgeattempt.Transfer',
                return_value=unittest.mock.Mock(run=broken),
            ),
            self.assertRaises(UnicodeError),
        ):
            await exchange._run()
        self.assertEqual(harness.view('1').in_flight, 0)
        status = connection.write_headers.call_args.args[0].code
        self.assertEqual(status, 500)


class RefusalWithinResponseTest(unittest.IsolatedAsyncioTestCase):
    """A refusal is not written into a response that has begun.

    The caller would take it for a part of the target's body.
    """

    @parameterized.expand(
        [
            ('no_response', RelayState.empty, True),
            ('buffered', RelayState.buffered, True),
            ('streaming', RelayState.streaming, False),
        ]
    )
    async def test_unexpected_error(
        self, _name: str, state: RelayState, is_refused: bool
    ) -> None:
        context = _context()
        connection = unittest.mock.Mock(spec=HTTP1Connection)
        exchange = EdgeExchange(context, connection, _read(context).unwrap())
        exchange._relay.state = state
        with (
            unittest.mock.patch.object(
                EdgeExchange, '_serve', side_effect=ZeroDivisionError
            ),
            self.assertRaises(ZeroDivisionError),
        ):
            await exchange._run()
        self.assertIs(connection.write_headers.called, is_refused)
        self.assertIs(connection.close.called, not is_refused)


def _context() -> EdgeContext:
    return EdgeContext(
        edge=edge(instance('a'), feed(targets=(target('1'),))),
        clock=unittest.mock.Mock(
            now=unittest.mock.Mock(return_value=NOW),
            wall=unittest.mock.Mock(return_value=0),
        ),
        curl=unittest.mock.Mock(),
        header_format=PlatformHeaders(),
        prober=unittest.mock.Mock(),
        crash_detector=unittest.mock.Mock(),
        load_sharing=unittest.mock.Mock(),
        metrics=Metrics(),
        events=unittest.mock.Mock(),
    )


def _read(
    context: EdgeContext,
    path: str = '/stock/1',
    headers: Mapping[str, str] | None = None,
) -> Any:
    own = {'Host': 'shop.example', 'X-Request-Id': 'r'}
    return read_request(
        context,
        RequestStartLine('GET', path, 'HTTP/1.1'),
        HTTPHeaders({**own, **(headers or {})}),
        NOW,
    )

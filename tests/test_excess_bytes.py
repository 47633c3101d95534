"""Bytes behind the body of a response are noticed and reported."""

import asyncio
import socket
import unittest.mock

from parameterized import parameterized

from tests.test_filled_bodies import HEAD, TIMEOUT, TwiceAnsweringTarget
from turmericmast.metrics import Metrics
from turmericmast.web.connections import Connection, Descriptor
from turmericmast.web.curl import CurlClient
from turmericmast.web.excessreport import report_excess
from turmericmast.web.receivedbytes import ReceivedBytes
from turmericmast.web.responsebody import ResponseBody
from turmericmast.web.transfer import ResponseSink, Transfer, TransferRequest

SIZED = HEAD + b'Content-Length: 5\r\n'
RESPONSES = [
    ('single', SIZED + b'\r\nabcde', 0),
    ('one_more_byte', SIZED + b'\r\nabcdef', 1),
    ('line_ends_without_carriage_return', SIZED + b'A: b\n\nabcde', 0),
    ('spaces', SIZED + b'A:  b  \r\nB:\r\n\r\nabcdef', 1),
    (
        'interim',
        b'HTTP/1.1 103 Hints\r\nA: b\r\n\r\n' + SIZED + b'\r\nabcde',
        0,
    ),
    ('interims', 2 * b'HTTP/1.1 103 H\r\n\r\n' + SIZED + b'\r\nabcdef', 1),
    ('second_response', 2 * (SIZED + b'\r\nabcde'), len(SIZED) + 7),
    ('chunks', HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nabc', 0),
]
"""Name, what a target sends to each request, and bytes behind the body."""


class ExcessTest(unittest.IsolatedAsyncioTestCase):
    """What belongs to the response is no excess, on a kept connection too."""

    # Guards against second responses that leave no trace (issue 36).
    @parameterized.expand(
        [
            (f'{name}_{kind}', response, excess, is_closing)
            for name, response, excess in RESPONSES
            for kind, is_closing in (('kept', False), ('closed', True))
        ]
    )
    async def test_excess(
        self, _name: str, response: bytes, excess: int, is_closing: bool
    ) -> None:
        target = TwiceAnsweringTarget([response], is_closing=is_closing)
        async with target.run() as address:
            with CurlClient() as curl:
                bodies = [
                    await _body(curl, address, is_kept=not is_closing)
                    for _ in range(3)
                ]
        self.assertEqual([body.excess for body in bodies], [excess] * 3)

    @parameterized.expand([('known', 1), ('not_known', None)])
    def test_unread_bytes_belong_to_the_response(
        self, _name: str, accounted: int | None
    ) -> None:
        with socket.create_server(('127.0.0.1', 0)) as server:
            near = socket.create_connection(server.getsockname())
            far, _ = server.accept()
            with near, far:
                far.sendall(b'abc')
                near.recv(1)
                connection = Connection(Descriptor(near.fileno()))
                connection.accounted = accounted
                received = ReceivedBytes(connection)
                far.sendall(b'de')
                near.recv(1, socket.MSG_PEEK)
                self.assertEqual(received.beyond(3), 1)

    @parameterized.expand([('none', 0, 0), ('some', 7, 1)])
    def test_report(self, _name: str, excess: int, reports: int) -> None:
        body, metrics, events = ResponseBody(), Metrics(), unittest.mock.Mock()
        body.excess = excess
        report_excess(body, metrics, events, target='t')
        self.assertEqual(sum(metrics.count_by_name.values()), reports)
        self.assertEqual(len(events.write.mock_calls), reports)


async def _body(
    curl: CurlClient, address: str, *, is_kept: bool
) -> ResponseBody:
    """Return what is known of the body of one response."""
    sink = unittest.mock.Mock(spec=ResponseSink, is_overfull=False)
    request = TransferRequest(
        f'http://{address}/', 'GET', (), TIMEOUT, None, 0, is_kept
    )
    loss = await asyncio.wait_for(
        Transfer(curl, request, sink, lambda: True).run(), TIMEOUT
    )
    assert loss is None, loss
    body = sink.on_body.call_args.args[0]
    assert isinstance(body, ResponseBody)
    return body

"""Which bodies are in doubt, and what becomes of them."""

import itertools
import unittest.mock

from parameterized import parameterized
from tornado.httputil import HTTPHeaders

from turmericmast.web.body import MAX_BUFFERED_BYTES
from turmericmast.web.receivedbytes import ReceivedBytes
from turmericmast.web.relay import Relay
from turmericmast.web.responsebody import (
    SETTLING_SECONDS,
    BodyState,
    ResponseBody,
)
from turmericmast.web.statuslines import StatusLines
from turmericmast.web.transfer import ResponseHead

STATUS_LINE = b'HTTP/1.1 200'
BODIES = [
    ('empty', b'', False),
    ('plain', b'a' * 40, False),
    ('status_line', b'a%ba' % STATUS_LINE, True),
    ('other_version', b'aHTTP/1.0 500 Error', True),
    *(
        (f'first_{size}_at_the_end', b'a' + STATUS_LINE[:size], True)
        for size in range(1, len(STATUS_LINE) + 1)
    ),
    ('protocol_within', b'aHTTP/1.1a', False),
    ('no_number', b'HTTP/1.1 2a0', False),
    ('letter_within', b'aHa', False),
    ('lower_case', b'http/1.1 200', False),
    ('begins_twice', b'HTHTTP/1', True),
    ('line_end_behind_the_beginning', b'HTTP\n', False),
]
"""Name, body, and whether it may have a status line."""
VERDICTS = [
    ('plain', b'abcd', 0, [BodyState.whole], 0),
    ('plain_with_excess', b'abcd', 9, [BodyState.settling, BodyState.whole], 0),
    ('plain_with_excess_that_was_read', b'abcd', -9, [BodyState.whole], 0),
    (
        'doubtful',
        b'abcH',
        0,
        [BodyState.settling, BodyState.whole],
        SETTLING_SECONDS,
    ),
    (
        'doubtful_with_excess',
        b'abcH',
        9,
        [BodyState.filled, BodyState.filled],
        SETTLING_SECONDS,
    ),
]
"""Name, body, bytes behind it (negative: curl has read them), states, and
seconds to settle."""


class StatusLinesTest(unittest.TestCase):
    """A status line is found however the body is divided."""

    # Guards against a second response that is overlooked since it arrives in
    # parts.
    @parameterized.expand(BODIES)
    def test_pieces(self, _name: str, body: bytes, is_possible: bool) -> None:
        cuts = itertools.combinations_with_replacement(range(len(body) + 1), 2)
        for first, second in cuts:
            pieces = (body[:first], body[first:second], body[second:])
            before, last = StatusLines(), pieces[-1]
            for piece in pieces[:-1]:
                before.add(piece)
            self.assertIs(before.is_possible(last), is_possible, pieces)
            before.add(last)
            self.assertIs(before.is_possible(), is_possible, pieces)

    @parameterized.expand(BODIES)
    def test_single_bytes(
        self, _name: str, body: bytes, is_possible: bool
    ) -> None:
        status_lines = StatusLines()
        for octet in body:
            status_lines.add(bytes((octet,)))
        self.assertIs(status_lines.is_possible(), is_possible)


class ResponseBodyTest(unittest.TestCase):
    """Only a body in doubt waits, and only with bytes behind it it fails."""

    # Guards against whole responses that are lost for a second one.
    @parameterized.expand(VERDICTS)
    def test_verdict(
        self,
        _name: str,
        octets: bytes,
        excess: int,
        states: list[BodyState],
        seconds: float,
    ) -> None:
        body = _body(len(octets), excess)
        self.assertIs(body.judge(octets[:1]), BodyState.arriving)
        body.accept(octets[:1])
        found = [body.judge(octets[1:])]
        self.assertEqual(body.settling_seconds, seconds)
        if len(states) > 1:
            body.settle()
            found.append(body.judge(octets[1:]))
        self.assertEqual(found, states)

    # Guards against a body that counts as whole since the caller was slow.
    @parameterized.expand([('settled', True), ('asked_again', False)])
    def test_excess_that_arrives_later(
        self, _name: str, is_settled: bool
    ) -> None:
        received = unittest.mock.Mock(spec=ReceivedBytes)
        received.beyond.side_effect = (0, 5)
        body = _body(4, 0, received)
        self.assertIs(body.judge(b'abcH'), BodyState.settling)
        if is_settled:
            body.settle()
        self.assertIs(body.judge(b'abcH'), BodyState.filled)

    # Guards against a download that goes on behind a part of another response.
    @parameterized.expand(
        [
            ('plain', b'a' * 20, True),
            ('status_line', STATUS_LINE.ljust(20), False),
            ('begins', b'a' * 19 + b'H', False),
        ]
    )
    def test_doubtful_body_is_not_resumed(
        self, _name: str, end: bytes, is_resumed: bool
    ) -> None:
        relay = Relay(unittest.mock.Mock(), 'GET')
        sent = b'a' * MAX_BUFFERED_BYTES + end
        length = str(2 * len(sent))
        body = _body(2 * len(sent), 0)
        relay.on_body(body)
        headers = {'ETag': '"v1"', 'Content-Length': length}
        relay.on_head(ResponseHead(200, 'OK', HTTPHeaders(headers)))
        relay.on_chunk(sent)
        body.accept(sent)
        self.assertEqual(relay.range_headers() is not None, is_resumed)
        # Nor is it after another attempt.
        relay.on_body(ResponseBody())
        self.assertEqual(relay.range_headers() is not None, is_resumed)


def _body(
    length: int, excess: int, received: ReceivedBytes | None = None
) -> ResponseBody:
    """Return a body of ``length`` with ``excess`` bytes behind it.

    If ``excess`` is negative, curl has read them.
    """
    body = ResponseBody()
    counted = unittest.mock.Mock(spec=ReceivedBytes)
    counted.beyond.return_value = abs(excess)
    counted.has_unread = excess > 0
    body.begin_request(received or counted)
    body.begin(100, str(length))
    return body

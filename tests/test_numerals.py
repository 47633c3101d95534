"""Numbers in headers: no text from outside may raise an exception."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from tornado.httputil import HTTPHeaders, RequestStartLine

from tests.edge_samples import NOW, target_view
from turmericmast.balance.news import LoadNews, describe_load
from turmericmast.numerals import is_whole_within, parse_whole
from turmericmast.platform.headers import (
    COLD_TIME_HEADER,
    LOAD_HEADER,
    MAX_FIGURE,
    TIMEOUT_HEADER,
    PlatformHeaders,
)
from turmericmast.route.document import RouteLimits
from turmericmast.web.parse import HOPS_HEADER, _find_header_faults
from turmericmast.web.requestreading import _check_limits
from turmericmast.wire.codec import decode, encode

LONG = '9' * 5000
"""More digits than Python converts."""
LIMITS = RouteLimits(65_536, 1000, 3, 15)
DIGITS = st.text(alphabet='0123456789.,-e ', max_size=400)
EXAMPLES = 200


class NumberTest(unittest.TestCase):
    """Only plain decimal numbers of a sensible length are numbers."""

    @parameterized.expand(
        [
            ('number', '12', 12),
            ('zero', '0', 0),
            ('leading_zeros', '0012', 12),
            ('empty', '', None),
            ('sign', '-1', None),
            ('space', ' 1', None),
            ('fraction', '1.5', None),
            ('superscript', '\u00b2', None),
            ('too_long', '1' * 16, None),
            ('leading_zeros_hide_the_length', '0' * 20 + '1', None),
            ('more_than_python_converts', LONG, None),
        ]
    )
    def test_parse(self, _name: str, text: str, expected: int | None) -> None:
        self.assertEqual(parse_whole(text), expected)

    @parameterized.expand(
        [('low', '1', True), ('high', '9', True), ('above', '10', False)]
    )
    def test_within(self, _name: str, text: str, is_within: bool) -> None:
        self.assertIs(is_whole_within(text, 1, 9), is_within)


class HeaderNumberTest(unittest.TestCase):
    """Malformed numbers are refused or passed over."""

    @parameterized.expand(
        [
            ('short', '7', None),
            ('no_number', 'x', 400),
            ('too_large', '1001', 413),
            ('more_than_python_converts', LONG, 400),
        ]
    )
    def test_content_length(
        self, _name: str, text: str, status: int | None
    ) -> None:
        problem = _check_limits(HTTPHeaders({'Content-Length': text}), LIMITS)
        self.assertEqual(problem and int(problem.status), status)

    @parameterized.expand(
        [('leading_zeros_hide_the_value', '0' * 12 + '5000'), ('long', LONG)]
    )
    def test_hops(self, _name: str, text: str) -> None:
        start = RequestStartLine('GET', '/', 'HTTP/1.1')
        headers = HTTPHeaders({HOPS_HEADER: text})
        faults = [name for name, _ in _find_header_faults(start, headers)]
        self.assertEqual(faults, [HOPS_HEADER])

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(DIGITS, DIGITS)
    def test_any_text_is_read(self, first: str, second: str) -> None:
        headers = HTTPHeaders()
        for name in (TIMEOUT_HEADER, COLD_TIME_HEADER):
            headers[name] = first
        headers[LOAD_HEADER] = f'{first},{second},4'
        reader = PlatformHeaders()
        reader.read_request(headers)
        reader.read_response(200, headers)
        reader.read_health(headers)

    def test_load_of_many_digits_is_no_load(self) -> None:
        headers = HTTPHeaders({LOAD_HEADER: f'{LONG},0,4'})
        self.assertIsNone(PlatformHeaders().read_health(headers).load)

    # Guards against load news that cannot be encoded, so that no peer learns
    # the load of any target in them.
    @parameterized.expand(
        [
            ('running', '3000000000,0,4'),
            ('waiting', '1,3000000000,4'),
            ('slots', '1,0,999999999999999'),
            ('slowness', '1,0,4,999999999999999'),
            ('largest', f'{MAX_FIGURE},{MAX_FIGURE},{MAX_FIGURE},{MAX_FIGURE}'),
        ]
    )
    def test_load_can_be_sent_to_peers(self, _name: str, text: str) -> None:
        view = target_view('1')
        headers = HTTPHeaders({LOAD_HEADER: text})
        load = PlatformHeaders().read_health(headers).load
        self.assertIs(load is not None, _name == 'largest')
        view.update_load(load or view.report, NOW)
        news = LoadNews(
            'tirol-a', hand_on=False, loads=(describe_load(view, NOW),)
        )
        self.assertEqual(decode(encode(news)).unwrap(), news)

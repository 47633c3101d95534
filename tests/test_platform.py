"""Tests of the adapter to the provider's platform."""

import math
import pathlib
import re
import unittest
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Success
from tornado.httputil import HTTPHeaders

from tests.platform_samples import (
    REPORT,
    ROUTES,
    SETTINGS,
    changed,
    encoded,
    without,
)
from turmericmast.balance.load import LoadReport
from turmericmast.cluster.records import TargetPhase
from turmericmast.ids import RouteName, ServiceId, TargetId
from turmericmast.platform.documents import DocumentFormat, parse_report
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.platform.settings import parse_instance_settings

SOURCE = pathlib.Path(__file__).parent.parent / 'src' / 'turmericmast'
PLATFORM_NAMES = (
    'X-Request-Id',
    'X-Deadline-Ms',
    'X-Expect-Instance',
    'X-Response-Signature',
    'X-Tenant-Id',
    'Api-Key',
    'api_keys',
    'rate_per_s',
    'X-Not-Executed',
    'X-Server-Load',
    'X-Warmup-Ms',
    'Server-Leaving',
    'warmup_left_s',
    'warmup_per_s',
    'path_prefix',
    'traffic_split',
    'target_latency_s',
    'allowed_regions',
    'heartbeat_address',
    'counts_as_loss',
    'ready_address',
    'TURMERICMAST_NODE_FILE',
    '/-/instances',
    '/-/evacuations',
    '/-/resolve',
    '/-/ready',
)

SAMPLE_ROUTES: Any = ROUTES['routes']
TIMEOUT = 'routes.look.timeout_s'
SPLIT = 'routes.look.traffic_split'
GOAL = 'routes.look.target_latency_s'
DEEP = 100_000
WEIGHT_NAN = [{'service': 'stock', 'weight': math.nan}]

BAD_ROUTES = [
    ('cut_short', encoded(ROUTES)[:-40]),
    ('not_an_object', b'[]'),
    ('no_version', encoded(without(ROUTES, 'version'))),
    ('version_not_hexadecimal', encoded(changed(ROUTES, 'version', 'x'))),
    ('unknown_kind', encoded(changed(ROUTES, 'routes.look.kind', 'odd'))),
    ('no_timeout', encoded(without(ROUTES, 'routes.look.timeout_s'))),
    ('no_service', encoded(without(ROUTES, 'routes.order.service'))),
    ('no_host', encoded(without(ROUTES, 'routes.order.host'))),
    ('host_number', encoded(changed(ROUTES, 'routes.look.host', 4))),
    ('no_routes', encoded(without(ROUTES, 'routes'))),
    ('no_weight', encoded(changed(ROUTES, SPLIT, [{'service': 'stock'}]))),
    ('timeout_nan', encoded(changed(ROUTES, TIMEOUT, math.nan))),
    ('timeout_infinite', encoded(changed(ROUTES, TIMEOUT, math.inf))),
    ('timeout_beyond_floats', encoded(changed(ROUTES, TIMEOUT, 10**400))),
    ('float_beyond_range', encoded(ROUTES).replace(b'0.25', b'1e999')),
    ('goal_negative_infinite', encoded(changed(ROUTES, GOAL, -math.inf))),
    ('weight_nan', encoded(changed(ROUTES, SPLIT, WEIGHT_NAN))),
    ('nested_too_deeply', b'[' * DEEP + b']' * DEEP),
]

FAULTY_ROUTES = [
    ('unknown_service', 'routes.order.service', 'gone', 'routes.order'),
    ('empty_host', 'routes.look.host', '', 'routes.look.host'),
    # Guards against a route in force that can answer no request.
    ('zero_timeout', 'routes.look.timeout_s', 0, 'routes.look.timeout'),
    ('negative_timeout', 'routes.look.timeout_s', -1, 'routes.look.timeout'),
    ('long_timeout', 'routes.look.timeout_s', 601, 'routes.look.timeout'),
    (
        'goal_over_timeout',
        'routes.look.target_latency_s',
        61.2,
        'routes.look.latency_goal',
    ),
    (
        'negative_weight',
        'routes.look.traffic_split',
        [{'service': 'stock', 'weight': -1}],
        'routes.look.weight',
    ),
    (
        'no_weight_above_zero',
        'routes.look.traffic_split',
        [
            {'service': 'stock', 'weight': 0},
            {'service': 'stock-next', 'weight': 0},
        ],
        'routes.look.weight',
    ),
    ('blank_host', 'routes.look.host', ' ', 'routes.look.host'),
    ('no_attempts', 'routes.look.max_attempts', 0, 'routes.look.max_attempts'),
    ('empty_prefix', 'routes.look.path_prefix', '', 'routes.look.prefix'),
    ('prefix_open', 'routes.look.path_prefix', '/stock', 'routes.look.prefix'),
    (
        'prefix_without_root',
        'routes.look.path_prefix',
        'stock/',
        'routes.look.prefix',
    ),
    (
        'no_connections',
        'services.stock.max_connections',
        0,
        'services.stock.max_connections',
    ),
    (
        'same_host_and_prefix',
        'routes.look-too',
        {**SAMPLE_ROUTES['look'], 'host': 'SHOP.example'},
        'routes.look-too',
    ),
    ('no_header_bytes', 'limits.max_header_bytes', 0, 'limits.header_bytes'),
    ('negative_body', 'limits.max_body_bytes', -1, 'limits.body_bytes'),
    ('no_header_time', 'limits.header_timeout_s', 0, 'limits.header_timeout'),
    ('negative_idle', 'limits.idle_timeout_s', -1, 'limits.idle_timeout'),
    (
        'one_branch_without_weight',
        'routes.look.traffic_split',
        [{'service': 'stock', 'weight': 0}],
        'routes.look.weight',
    ),
]

REPEATED_KEYS = [
    # name, what stands in the document, what replaces it
    ('route', '"look":', '"look": {}, "look":'),
    ('service', '"stock-next": {', '"stock-next": {}, "stock-next": {'),
    ('timeout', '"timeout_s": 1.2', '"timeout_s": 1.2, "timeout_s": 9'),
    ('same_value', '"timeout_s": 1.2', '"timeout_s": 1.2, "timeout_s": 1.2'),
    ('version', '"version": "00000007"', '"version": "9", "version": "7"'),
    (
        'escaped',
        '"version": "00000007"',
        '"version": "9", "ver\\u0073ion": "7"',
    ),
    ('unknown', '"tls": false', '"tls": false, "tls": true'),
]

OPTIONAL_FIELDS = [
    ('priority', 'routes.look.priority'),
    ('attempts', 'routes.look.max_attempts'),
    ('homes', 'routes.look.allowed_regions'),
    ('cold_rate', 'services.stock.warmup_per_s'),
    ('limits', 'limits'),
    ('header_bytes', 'limits.max_header_bytes'),
    ('body_bytes', 'limits.max_body_bytes'),
    ('header_timeout', 'limits.header_timeout_s'),
    ('idle_timeout', 'limits.idle_timeout_s'),
]

BAD_REPORTS = [
    ('cut_short', encoded(REPORT)[:-9]),
    ('no_born', encoded(without(REPORT, 'born'))),
    ('born_string', encoded(changed(REPORT, 'born', '17'))),
    ('born_boolean', encoded(changed(REPORT, 'born', True))),
    ('unknown_state', encoded(changed(REPORT, 'status.state', 'odd'))),
    ('no_address', encoded(without(REPORT, 'address'))),
    ('address_with_host_name', encoded(changed(REPORT, 'address', 'host:80'))),
    ('slots_string', encoded(changed(REPORT, 'info.capacity', '4'))),
    ('sequence_fraction', encoded(changed(REPORT, 'status.sequence', 1.5))),
    ('info_list', encoded(changed(REPORT, 'info', []))),
    ('service_number', encoded(changed(REPORT, 'info.service', 3))),
]

BAD_SETTINGS = [
    ('no_zone', without(SETTINGS, 'zone'), 'zone'),
    ('no_seeds', without(SETTINGS, 'seeds'), 'seeds'),
    ('seed_with_host_name', changed(SETTINGS, 'seeds', ['host:1']), 'seeds'),
    ('listen_number', changed(SETTINGS, 'listen', 3), 'listen'),
    (
        'listen_with_host_name',
        changed(SETTINGS, 'listen.front', 'host:1'),
        'listen.front',
    ),
    ('one_port', changed(SETTINGS, 'port_range', [1]), 'port_range'),
    (
        'grace_string',
        changed(SETTINGS, 'bounds.grace_s', 'x'),
        'bounds.grace_s',
    ),
    *[
        (
            f'revocation_{name}',
            changed(SETTINGS, 'bounds', {'revoke_fail_closed': wanted, **rest}),
            found,
        )
        for name, wanted, rest, found in (
            ('without_time', True, {}, 'bounds.revoke_s'),
            ('time_text', True, {'revoke_s': '5'}, 'bounds.revoke_s'),
            ('time_true', True, {'revoke_s': True}, 'bounds.revoke_s'),
            ('time_zero', True, {'revoke_s': 0}, 'bounds.revoke_s'),
            ('time_nan', True, {'revoke_s': math.nan}, 'bounds.revoke_s'),
            ('wanted_text', 'yes', {'revoke_s': 5}, 'revoke_fail_closed'),
            ('wanted_number', 1, {'revoke_s': 5}, 'revoke_fail_closed'),
        )
    ],
    ('not_an_object', [], 'document'),
]

LOADS = [
    ('usual', '3,0,8', LoadReport(3, 0, 8, 1)),
    ('slow', '3,1,4,650', LoadReport(3, 1, 4, 6.5)),
    ('not_a_number', '3,x,8', None),
    ('too_few', '3,0', None),
    ('empty', '', None),
]


class RoutesTest(unittest.TestCase):
    """A route document with a fault is rejected as a whole."""

    @parameterized.expand(BAD_ROUTES)
    def test_unreadable(self, _name: str, source: bytes) -> None:
        self.assertIsInstance(DocumentFormat().parse(source), Failure)

    @parameterized.expand(FAULTY_ROUTES)
    def test_faults_are_reported_with_their_paths(
        self,
        _name: str,
        path: str,
        to: Any,
        expected_path: str,
    ) -> None:
        source = encoded(changed(ROUTES, path, to))
        checked = (
            DocumentFormat()
            .parse(source)
            .bind(lambda document: document.validate())
        )
        self.assertIn(expected_path, checked.failure().show())

    def test_good_document(self) -> None:
        document = DocumentFormat().parse(encoded(ROUTES)).unwrap()
        self.assertIsInstance(document.validate(), Success)
        self.assertEqual((document.version, document.base), (7, 5))
        order = document.route_by_name[RouteName('order')]
        self.assertFalse(order.kind.is_repeatable)
        self.assertEqual(order.home_regions, {'tirol', 'kaernten'})
        self.assertEqual(
            document.config_by_service[ServiceId('stock')].cold_rate, 13
        )

    # Guards against a document in force that can be read in two ways.
    @parameterized.expand(REPEATED_KEYS)
    def test_repeated_key(self, _name: str, first: str, both: str) -> None:
        source = encoded(ROUTES).replace(first.encode(), both.encode(), 1)
        document = DocumentFormat().parse_proposal(source).unwrap()
        self.assertIn('twice', document.validate().failure().show())

    # Guards against a valid document that is never acknowledged, since a field
    # that may be left out raised an error.
    @parameterized.expand(OPTIONAL_FIELDS)
    def test_optional_field(self, _name: str, path: str) -> None:
        document = DocumentFormat().parse(encoded(without(ROUTES, path)))
        self.assertIsInstance(document.unwrap().validate(), Success)


class ReportsTest(unittest.TestCase):
    """A report of a target with a fault is rejected."""

    @parameterized.expand(BAD_REPORTS)
    def test_unreadable(self, _name: str, source: bytes) -> None:
        self.assertIsInstance(parse_report('i-1', source), Failure)

    def test_good_report(self) -> None:
        record = parse_report('i-1', encoded(REPORT)).unwrap()
        self.assertEqual(record.order, (1_700_000_000_000, 4))
        self.assertIs(record.phase, TargetPhase.ready)


class SettingsTest(unittest.TestCase):
    """Settings are checked as a whole; unknown fields are passed over."""

    @parameterized.expand(BAD_SETTINGS)
    def test_faults_are_reported_with_their_paths(
        self, _name: str, tree: Any, expected_path: str
    ) -> None:
        self.assertIn(
            expected_path, parse_instance_settings(tree).failure().show()
        )

    def test_good_settings(self) -> None:
        settings = parse_instance_settings(SETTINGS).unwrap()
        self.assertEqual(
            settings.contacts, ('10.1.0.34:7540', '10.2.0.34:7540')
        )
        self.assertEqual(settings.listening.peers, '10.1.0.34:7541')
        self.assertEqual(settings.operators_port, 8544)
        self.assertEqual(settings.bounds.grace, 6)
        self.assertIsNone(settings.data)
        self.assertTrue(settings.is_first_start)

    @parameterized.expand(
        [('with_a_disk', '/data/edge', '10.1.0.34:7540'), ('without', '', '')]
    )
    def test_core_member_on_the_same_host(
        self, _name: str, folder: str, expected: str
    ) -> None:
        settings = parse_instance_settings({**SETTINGS, 'data_dir': folder})
        self.assertEqual(settings.unwrap().local_contact, expected)


class HeadersTest(unittest.TestCase):
    """Headers are parsed, and written for a target."""

    @parameterized.expand(LOADS)
    def test_load(self, _name: str, text: str, load: LoadReport | None) -> None:
        metadata = PlatformHeaders().read_response(
            200,
            HTTPHeaders({'X-Server-Load': text}),
        )
        self.assertEqual(metadata.load, load)

    @parameterized.expand(
        [
            ('answered', 200, {}, False),
            ('full', 503, {'X-Not-Executed': '1'}, True),
            ('other_target', 421, {}, True),
            ('failed', 500, {}, False),
            ('busy_without_header', 503, {}, False),
        ],
    )
    def test_not_run_needs_header_or_status_421(
        self,
        _name: str,
        status: int,
        headers: dict[str, str],
        is_not_run: bool,
    ) -> None:
        metadata = PlatformHeaders().read_response(status, HTTPHeaders(headers))
        self.assertIs(metadata.is_not_run, is_not_run)

    @parameterized.expand([('800', 0.8), ('', None), ('soon', None)])
    def test_caller_timeout(
        self, text: str, caller_timeout: float | None
    ) -> None:
        metadata = PlatformHeaders().read_request(
            HTTPHeaders({'X-Deadline-Ms': text}),
        )
        self.assertEqual(metadata.caller_timeout, caller_timeout)

    def test_headers_to_target(self) -> None:
        self.assertEqual(
            PlatformHeaders().target_headers(TargetId('i-1'), 0.25),
            (('X-Deadline-Ms', '250'), ('X-Expect-Instance', 'i-1')),
        )


class BoundaryTest(unittest.TestCase):
    """The platform's names occur in its package only, which stays small."""

    def test_names_stay_in_the_adapter(self) -> None:
        pattern = re.compile('|'.join(map(re.escape, PLATFORM_NAMES)))
        for path in SOURCE.rglob('*.py'):
            if 'platform' not in path.parts and 'generated' not in path.parts:
                with self.subTest(path.name):
                    text = path.read_text(encoding='utf-8')
                    self.assertIsNone(pattern.search(text))

    def test_adapter_is_small(self) -> None:
        def lines(folder: pathlib.Path) -> int:
            return sum(
                len(path.read_text(encoding='utf-8').splitlines())
                for path in folder.rglob('*.py')
                if 'generated' not in path.parts
            )

        self.assertLess(lines(SOURCE / 'platform'), 0.2 * lines(SOURCE))

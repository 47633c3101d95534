"""Odd entries among those of targets: none of them stops or confuses others."""

import contextlib
import dataclasses
import itertools
import pathlib
import re
import tempfile
import unittest.mock
from collections.abc import Callable
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Result, Success
from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port

from tests.edge_samples import edge, feed, instance, target
from tests.platform_samples import REPORT, ROUTES, changed, encoded
from turmericmast.addresses import is_address, is_unicast_address
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.commands import ReportTarget
from turmericmast.cluster.records import MAX_SLOTS, TargetRecord
from turmericmast.exceptions import SettingsError
from turmericmast.fields import MAX_WHOLE
from turmericmast.fleet.document import parse_document
from turmericmast.instancesettings import InstanceSettings
from turmericmast.metrics import Metrics
from turmericmast.names import MAX_NAME_LENGTH
from turmericmast.platform.coreapi import make_application
from turmericmast.platform.documents import (
    MAX_SEQUENCE,
    DocumentFormat,
    parse_report,
)
from turmericmast.platform.settings import load_instance_settings
from turmericmast.settings import parse_settings
from turmericmast.web.pageserver import make_page_server
from turmericmast.wire.codec import decode, encode
from turmericmast.wire.feedpacking import pack_feed, unpack_feed

ADDRESSES = [
    ('usual', '10.0.0.1:80', True, True),
    ('version_6', '[::1]:80', True, True),
    ('port_0', '10.0.0.1:0', False, False),
    ('port_65536', '10.0.0.1:65536', False, False),
    ('negative_port', '10.0.0.1:-1', False, False),
    ('long_port', '10.0.0.1:99999999999', False, False),
    ('very_long_port', f'10.0.0.1:{"9" * 5000}', False, False),
    ('digits_of_another_script', '10.0.0.1:\u0668\u0660', False, False),
    ('superscript', '10.0.0.1:\u00b2', False, False),
    ('line_break', '10.0.0.1:80\r\n', False, False),
    ('space', '10.0.0.1: 80', False, False),
    ('no_port', '10.0.0.1', False, False),
    ('host_name', 'localhost:80', False, False),
    ('brackets_around_version_4', '[10.0.0.1]:80', False, False),
    ('version_6_without_brackets', '::1:80', False, False),
    ('two_brackets', '[[::1]]:80', False, False),
    ('zone_index', '[fe80::1%25x]:80', False, False),
    ('every_host', '0.0.0.0:80', True, False),
    ('multicast', '224.0.0.1:80', True, False),
    ('broadcast', '255.255.255.255:80', True, False),
    ('lone_surrogate', '\ud800:80', False, False),
    ('number', 80, False, False),
    ('list', ['10.0.0.1:80'], False, False),
    ('nothing', None, False, False),
]
"""An address, whether it is one, and whether it is that of one host."""


class AddressTest(unittest.TestCase):
    """An odd address is refused, so that no request goes to it.

    Guards against requests that fail with an internal error, since curl
    refuses the URL of a target.
    """

    @parameterized.expand(ADDRESSES)
    def test_address(
        self, _name: str, address: object, is_one: bool, is_of_one_host: bool
    ) -> None:
        self.assertIs(is_address(address), is_one)
        self.assertIs(is_unicast_address(address), is_of_one_host)


def _replaced(path: str, raw: str) -> bytes:
    """Return the sample report with raw JSON text in a field."""
    marked = encoded(changed(REPORT, path, '@')).decode()
    return marked.replace('"@"', raw).encode()


NUMBER_PATHS = ('born', 'status.sequence', 'info.capacity')
ODD_NUMBERS = [
    ('beyond_a_float', '1e400'),
    ('beyond_64_bits', '9223372036854775808'),
    ('400_digits', f'1{"0" * 400}'),
    ('5000_digits', '9' * 5000),
    ('not_a_number', 'NaN'),
    ('infinity', 'Infinity'),
    ('negative_infinity', '-Infinity'),
    ('negative', '-1'),
    ('negative_zero_fraction', '-0.0'),
    ('fraction', '1.5'),
    ('string', '"3"'),
    ('boolean', 'true'),
    ('null', 'null'),
    ('list', '[3]'),
]
NAME_PATHS = ('info.service', 'info.zone', 'status.state', 'address')
ODD_NAMES = [
    ('lone_surrogate', r'"\ud800"'),
    ('empty', '""'),
    ('long', f'"{"x" * 100_000}"'),
    ('line_break', r'"a\r\nb"'),
    ('number', '7'),
    ('list', '["ready"]'),
    ('object', '{"a": 1}'),
    ('null', 'null'),
]
TABLE_PATHS = ('info', 'status')
ODD_TABLES = [
    ('null', 'null'),
    ('list', '[]'),
    ('string', '"x"'),
    ('number', '1e400'),
]
DEEP = f'{"[" * 100_000}{"]" * 100_000}'
ODD_REPORTS = [
    (f'{path}_{name}', _replaced(path, raw), path)
    for paths, odd in (
        (NUMBER_PATHS, ODD_NUMBERS),
        (NAME_PATHS, ODD_NAMES),
        (TABLE_PATHS, ODD_TABLES),
    )
    for path, (name, raw) in itertools.product(paths, odd)
]
"""Name, report and path of the field that the error names."""
UNREADABLE = [
    ('empty', b''),
    ('no_text', b'\xff\xfe\xfd'),
    ('deep_list', DEEP.encode()),
    ('deep_object', b'{"a":' * 100_000),
    ('deep_in_a_field', _replaced('info', DEEP)),
    ('deep_in_an_unknown_field', _replaced('version', DEEP)),
    (
        'less_deep_in_an_unknown_field',
        _replaced('version', f'{"[" * 900}{"]" * 900}'),
    ),
    ('long_number_in_an_unknown_field', _replaced('version', '9' * 5000)),
    ('large_number_in_an_unknown_field', _replaced('version', '1e400')),
    ('list', b'[]'),
    ('null', b'null'),
    ('number', b'1e400'),
]
EXTREME_REPORTS = [
    ('born', 'born', MAX_WHOLE),
    ('sequence', 'status.sequence', MAX_SEQUENCE),
    ('slots', 'info.capacity', MAX_SLOTS),
    ('service', 'info.service', 'x' * MAX_NAME_LENGTH),
]


class OddReportTest(unittest.TestCase):
    """An odd report is refused; the error names the field and the fix.

    Guards against reports that fail with an internal error, and against
    records that cannot be written to the log or sent to edges.
    """

    @parameterized.expand(ODD_REPORTS)
    def test_odd_field(self, _name: str, source: bytes, path: str) -> None:
        shown = parse_report('i-1', source).failure().show()
        self.assertRegex(
            shown, f'not valid JSON|{re.escape(path)}.*(write|use)'
        )
        self.assertLess(len(shown), 400)

    @parameterized.expand(UNREADABLE)
    def test_unreadable(self, _name: str, source: bytes) -> None:
        self.assertIsInstance(parse_report('i-1', source), Failure)

    @parameterized.expand(
        [
            ('empty', ''),
            ('line_break', 'i-1\r\nX-Own: 1'),
            ('space', 'i 1'),
            ('not_ascii', 'i-\u20ac'),
            ('long', 'i' * 1000),
        ]
    )
    def test_odd_id(self, _name: str, target: str) -> None:
        shown = parse_report(target, encoded(REPORT)).failure().show()
        self.assertIn('id: write', shown)

    @parameterized.expand(EXTREME_REPORTS)
    def test_largest_values_can_be_committed(
        self, _name: str, path: str, extreme: object
    ) -> None:
        source = encoded(changed(REPORT, path, extreme))
        command = ReportTarget(parse_report('i-1', source).unwrap())
        self.assertEqual(decode(encode(command)).unwrap(), command)


def _raw_routes(path: str, raw: str) -> bytes:
    """Return the sample routes with raw JSON text in a field."""
    marked = encoded(changed(ROUTES, path, '@')).decode()
    return marked.replace('"@"', raw).encode()


ROUTE_NUMBERS = (
    'routes.look.timeout_s',
    'routes.look.target_latency_s',
    'routes.look.priority',
    'routes.look.max_attempts',
    'services.stock.max_connections',
    'services.stock.warmup_per_s',
    'limits.max_body_bytes',
    'limits.idle_timeout_s',
)
ODD_ROUTE_NUMBERS = [
    ('beyond_a_float', '1e400'),
    ('400_digits', f'1{"0" * 400}'),
    ('5000_digits', '9' * 5000),
    ('not_a_number', 'NaN'),
    ('infinity', 'Infinity'),
    ('negative_infinity', '-Infinity'),
    ('not_a_number_as_string', '"nan"'),
    ('boolean', 'true'),
    ('list', '[]'),
]
ODD_ROUTES = [
    *(
        (f'{path}_{name}', _raw_routes(path, raw))
        for path, (name, raw) in itertools.product(
            ROUTE_NUMBERS, ODD_ROUTE_NUMBERS
        )
    ),
    *(
        (f'weight_{name}', _raw_routes('routes.look.traffic_split', split))
        for name, split in (
            ('not_a_number', '[{"service": "stock", "weight": NaN}]'),
            ('too_large', '[{"service": "stock", "weight": 1e308}]'),
            ('number', '[3]'),
            ('object', '{"service": "stock"}'),
        )
    ),
    ('fraction_of_an_attempt', _raw_routes('routes.look.max_attempts', '1.5')),
    ('version_too_large', _raw_routes('version', '"ffffffffffffffffff"')),
    ('version_negative', _raw_routes('version', '"-7"')),
    ('version_number', _raw_routes('version', '7')),
    ('surrogate_service', _raw_routes('routes.order.service', r'"\ud800"')),
    *(
        (f'health_path_{name}', _raw_routes('services.stock.health_path', raw))
        for name, raw in (
            ('without_slash', '"health"'),
            ('not_ascii', r'"/\u20ac"'),
            ('line_break', r'"/a\r\nb"'),
        )
    ),
    ('deep', DEEP.encode()),
    ('deep_in_an_unknown_field', _raw_routes('routes.look.priority', DEEP)),
]


class OddRoutesTest(unittest.TestCase):
    """An odd route document is refused as a whole, before it is committed.

    Guards against documents in force that no edge can apply, and against
    routes whose requests have no deadline.
    """

    @parameterized.expand(ODD_ROUTES)
    def test_odd_number(self, _name: str, source: bytes) -> None:
        checked = (
            DocumentFormat()
            .parse(source)
            .bind(lambda document: document.validate())
        )
        self.assertIsInstance(checked, Failure)


ODD_RECORDS = [
    ('digits_of_another_script', {'address': '10.0.0.2:\u0668\u0660'}),
    ('port_out_of_range', {'address': '10.0.0.2:65536'}),
    ('no_port', {'address': '10.0.0.2'}),
    ('every_host', {'address': '0.0.0.0:80'}),
    ('no_slots', {'slots': 0}),
    ('negative_slots', {'slots': -1}),
    ('most_slots_of_the_log', {'slots': 2_147_483_647}),
]
ODD_ID = 'i-2\r\nX-Own: 1'


class OddRecordTest(unittest.TestCase):
    """An odd record that an older version accepted is passed over.

    Guards against requests that fail, since they go to a target whose record
    cannot be used; the other targets hold.
    """

    @parameterized.expand(ODD_RECORDS)
    def test_odd_record(self, _name: str, changes: dict[str, Any]) -> None:
        odd = dataclasses.replace(target('2'), **changes)
        self._check_passed_over(odd)

    def test_odd_id(self) -> None:
        self._check_passed_over(dataclasses.replace(target('2'), target=ODD_ID))

    @parameterized.expand(ODD_RECORDS)
    def test_record_becomes_odd_and_good_again(
        self, _name: str, changes: dict[str, Any]
    ) -> None:
        good = target('2')
        own_edge = edge(instance('a'), feed(targets=(target('1'), good)))
        odd = dataclasses.replace(good, sequence=2, **changes)
        own_edge.apply(feed(targets=(target('1'), odd), index=2), None)
        self.assertIsNone(own_edge.view(good.target))
        self.assertEqual(own_edge.unusable_targets, {good.target})
        newer = dataclasses.replace(good, sequence=3)
        own_edge.apply(feed(targets=(target('1'), newer), index=3), None)
        self.assertIsNotNone(own_edge.view(good.target))
        self.assertFalse(own_edge.unusable_targets)

    def _check_passed_over(self, odd: TargetRecord) -> None:
        # Through the registry, a snapshot and a feed, as from a log.
        cluster = Cluster()
        for index, record in enumerate((target('1'), odd), start=1):
            cluster.apply(index, ReportTarget(record))
        restored = Cluster()
        restored.restore(decode(encode(cluster.snapshot())).unwrap())
        packed = pack_feed(restored.build_feed(0))
        own_edge = edge(instance('a'), unpack_feed(packed).unwrap())
        self.assertEqual(
            [view.record for view in own_edge.views()], [target('1')]
        )
        self.assertEqual(own_edge.unusable_targets, {odd.target})
        own_edge.apply(feed(targets=(target('1'),), index=9), None)
        self.assertFalse(own_edge.unusable_targets)


ODD_TEXTS = [
    ('deep', DEEP),
    ('deep_object', '{"a":' * 100_000),
    ('less_deep', f'{{"regions": {"[" * 900}{"]" * 900}}}'),
    ('large_number', '{"bounds": {"grace_s": 1e400}}'),
    ('long_number', f'{{"regions": {"9" * 5000}}}'),
    ('not_a_number', '{"bounds": {"grace_s": NaN}}'),
]


def _load_file(text: str) -> Result[InstanceSettings, SettingsError]:
    with tempfile.NamedTemporaryFile('w', encoding='utf-8') as file:
        file.write(text)
        file.flush()
        return load_instance_settings(pathlib.Path(file.name))


READERS = [
    ('settings', parse_settings),
    ('fleet_document', parse_document),
    ('instance_settings', _load_file),
]


class OddTextTest(unittest.TestCase):
    """Odd settings and fleet documents are refused with a short reason.

    Guards against a process that ends, or keeps an old state, since it cannot
    read a file or an operator's document.
    """

    @parameterized.expand(
        [
            (f'{reader_name}_{name}', read, text)
            for (reader_name, read), (name, text) in itertools.product(
                READERS, ODD_TEXTS
            )
        ]
    )
    def test_odd_text(
        self, _name: str, read: Callable[[str], Result[Any, Any]], text: str
    ) -> None:
        shown = read(text).failure().show()
        self.assertRegex(shown, 'not valid JSON|nested deeper than 32')
        self.assertLess(len(shown), 400)


MAX_BODY_BYTES = 4_194_304
"""Bytes that a core member takes at the operators' port."""


class OddReportOverHttpTest(unittest.IsolatedAsyncioTestCase):
    """A core member refuses odd reports, counts them and goes on.

    Guards against answers that say that the member has failed, and against a
    member that does not take the reports of others any more.
    """

    @parameterized.expand(
        [
            ('deep', 'i-1', DEEP.encode()),
            ('number', 'i-1', _replaced('born', '1e400')),
            ('port', 'i-1', _replaced('address', '"10.0.0.1:65536"')),
            ('surrogate', 'i-1', _replaced('info.zone', r'"\ud800"')),
            ('id', 'i-1%0d%0aX-Own:1', encoded(REPORT)),
            ('id_that_is_no_text', 'i-%ff', encoded(REPORT)),
        ]
    )
    async def test_report(
        self, _name: str, target_id: str, body: bytes
    ) -> None:
        operations = unittest.mock.Mock()
        operations.report_target = unittest.mock.AsyncMock(
            return_value=Success('')
        )
        metrics = Metrics()
        server = make_page_server(
            make_application(operations, metrics), MAX_BODY_BYTES
        )
        sock, port = bind_unused_port()
        server.add_socket(sock)
        statuses = [
            await _put(port, f'/-/instances/{path}', report)
            for path, report in ((target_id, body), ('i-2', encoded(REPORT)))
        ]
        server.stop()
        self.assertEqual(statuses, [400, 200])
        self.assertEqual(operations.report_target.call_count, 1)
        if '%ff' not in target_id:
            self.assertIn(
                'orders_total{page="instances",status="400"} 1',
                metrics.render(),
            )


async def _put(port: int, path: str, body: bytes) -> int:
    with contextlib.closing(AsyncHTTPClient(force_instance=True)) as client:
        answer = await client.fetch(
            f'http://127.0.0.1:{port}{path}',
            method='PUT',
            body=body,
            raise_error=False,
        )
    return int(answer.code)

"""Client accounts: documents, keys, home regions and headers of requests."""

import unittest.mock
from collections.abc import Mapping
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Success
from tornado.httputil import HTTPHeaders, RequestStartLine

from tests.account_samples import (
    document_with_accounts,
    tree_with_accounts,
)
from tests.edge_samples import NOW, REGION_BY_DOMAIN, feed, instance, target
from tests.platform_samples import changed, encoded
from turmericmast.account.account import (
    NO_REGION,
    Account,
    Identity,
    combine_home_regions,
)
from turmericmast.clock import SystemClock
from turmericmast.edge.edge import Edge
from turmericmast.instancesettings import Bounds
from turmericmast.metrics import Metrics
from turmericmast.platform.documents import DocumentFormat
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.route.document import RouteDocument
from turmericmast.web.body import RequestBody
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.peerheaders import Forwarding
from turmericmast.web.requestreading import read_request

KEYS = 'tenants.farm.api_keys'
LONG_KEY = 'k' * 300

INVALID = [
    # name, path of the field, its value, what the error names
    ('key_of_two', KEYS, ['key-press'], 'accounts.press.keys'),
    ('key_empty', KEYS, [''], 'accounts.farm.keys'),
    ('key_too_long', KEYS, [LONG_KEY], 'accounts.farm.keys'),
    ('key_with_space', KEYS, ['a b'], 'accounts.farm.keys'),
    ('key_not_ascii', KEYS, ['é'], 'accounts.farm.keys'),
    ('keys_not_a_list', KEYS, 'key-farm', 'tenants.farm.api_keys'),
    ('key_not_a_string', KEYS, [4], 'tenants.farm.api_keys'),
    ('rate_negative', 'tenants.farm.rate_per_s', -1, 'accounts.farm.rate'),
    ('rate_text', 'tenants.farm.rate_per_s', 'x', 'tenants.farm.rate_per_s'),
    ('rate_huge', 'tenants.farm.rate_per_s', 2**60, 'tenants.farm.rate_per_s'),
    ('rate_nan', 'tenants.farm.rate_per_s', float('nan'), 'NaN'),
    ('burst_negative', 'tenants.farm.burst', -1, 'accounts.farm.burst'),
    (
        'unknown_region',
        'tenants.farm.allowed_regions',
        ['tirol', 'mars'],
        "accounts.farm.home_regions: there is no region 'mars'",
    ),
    ('accounts_a_list', 'tenants', [], 'tenants'),
    ('public_a_number', 'routes.order.public', 1, 'routes.order.public'),
]

REGIONS = frozenset(REGION_BY_DOMAIN.values())
FARM, PRESS = 'farm', 'press'
REQUESTS = [
    # name, path, keys sent, status of the refusal, account told to the target
    ('known', '/stock/1', ['key-farm'], None, FARM),
    ('second_key', '/stock/1', ['key-farm-2'], None, FARM),
    ('other_account', '/stock/1', ['key-press'], None, PRESS),
    ('unknown', '/stock/1', ['key-gone'], 401, None),
    ('missing', '/stock/1', [], 401, None),
    ('empty', '/stock/1', [''], 401, None),
    ('repeated', '/stock/1', ['key-farm', 'key-farm'], 401, None),
    ('two_accounts', '/stock/1', ['key-farm', 'key-press'], 401, None),
    ('public', '/orders/1', [], None, None),
    ('public_with_key', '/orders/1', ['key-farm'], None, None),
]

HOMES = [
    # name, homes of the route, homes of the account, regions that may serve
    ('none', (), (), ()),
    ('route', ('tirol',), (), ('tirol',)),
    ('account', (), ('tirol',), ('tirol',)),
    ('both', ('tirol', 'wien'), ('tirol', 'graz'), ('tirol',)),
    ('disjoint', ('wien',), ('tirol',), (NO_REGION,)),
]


def _context(document: RouteDocument) -> EdgeContext:
    edge = Edge(instance('a'), REGION_BY_DOMAIN, Bounds())
    edge.apply(feed(instance('a'), targets=(target('1'),)), document)
    return EdgeContext(
        edge=edge,
        clock=SystemClock(),
        curl=unittest.mock.Mock(),
        header_format=PlatformHeaders(),
        prober=unittest.mock.Mock(),
        load_sharing=unittest.mock.Mock(),
        crash_detector=unittest.mock.Mock(),
        metrics=Metrics(),
        events=unittest.mock.Mock(),
    )


def _read(
    document: RouteDocument,
    path: str,
    keys: list[str],
    forwarding: Forwarding | None = None,
) -> Any:
    host = 'shop.example' if path.startswith('/stock') else 'pay.example'
    headers = HTTPHeaders({'Host': host, 'X-Tenant-Id': 'forged'})
    for key in keys:
        headers.add('Api-Key', key)
    start = RequestStartLine('GET', path, 'HTTP/1.1')
    return read_request(_context(document), start, headers, NOW, forwarding)


def _sent_to_target(incoming: Any) -> Mapping[str, str]:
    request = incoming.transfer_request(
        target('1'), RequestBody(), lambda: None, 1.0, PlatformHeaders()
    )
    lines = (line.decode().partition(': ') for line in request.headers)
    return {name.lower(): text for name, _, text in lines}


class AccountDocumentTest(unittest.TestCase):
    """Accounts that cannot be meant are refused; keys are not repeated."""

    @parameterized.expand(INVALID)
    def test_invalid(
        self, _name: str, path: str, found: Any, named: str
    ) -> None:
        tree = changed(tree_with_accounts(), path, found)
        outcome = (
            DocumentFormat()
            .parse_proposal(encoded(tree))
            .bind(lambda document: document.validate(REGIONS))
        )
        self.assertIsInstance(outcome, Failure)
        shown = outcome.failure().show()
        self.assertIn(named, shown)
        self.assertNotIn('key-press', shown)
        self.assertNotIn(LONG_KEY, shown)

    def test_valid(self) -> None:
        document = document_with_accounts()
        self.assertIsInstance(document.validate(REGIONS), Success)
        self.assertIsInstance(document.validate(), Success)

    def test_keys_are_not_shown(self) -> None:
        accounts: Any = document_with_accounts().accounts
        shown = repr(accounts.account_by_name)
        self.assertIn('farm', shown)
        self.assertNotIn('key-farm', shown)


class IdentityTest(unittest.TestCase):
    """A request runs for the account of its key, whatever else it claims."""

    @parameterized.expand(REQUESTS)
    def test_request(
        self,
        _name: str,
        path: str,
        keys: list[str],
        status: int | None,
        account: str | None,
    ) -> None:
        read = _read(document_with_accounts(), path, keys)
        if status:
            self.assertEqual(read.failure().status, status)
            return
        sent = _sent_to_target(read.unwrap())
        self.assertEqual(sent.get('x-tenant-id'), account)
        self.assertNotIn('api-key', sent)

    def test_forwarded_request_with_a_key_of_a_newer_version(self) -> None:
        # The sender may know a newer version: 401 would end the request.
        forwarding = Forwarding('call', 1, 'stock')
        read = _read(document_with_accounts(), '/stock/1', ['new'], forwarding)
        self.assertEqual(read.failure().status, 503)

    def test_last_account_removed(self) -> None:
        read = _read(document_with_accounts({}), '/stock/1', ['key-farm'])
        self.assertEqual(read.failure().status, 401)

    def test_without_accounts_headers_pass_unchanged(self) -> None:
        tree = tree_with_accounts()
        tree.pop('tenants')
        document = DocumentFormat().parse(encoded(tree)).unwrap()
        sent = _sent_to_target(
            _read(document, '/stock/1', ['key-farm']).unwrap()
        )
        self.assertEqual(sent['x-tenant-id'], 'forged')
        self.assertEqual(sent['api-key'], 'key-farm')

    @parameterized.expand([('farm', 1), ('press', 0)])
    def test_priority_of_the_account(self, name: str, priority: int) -> None:
        read = _read(document_with_accounts(), '/stock/1', [f'key-{name}'])
        self.assertEqual(read.unwrap().priority, priority)

    @parameterized.expand(
        [
            ('without_a_key', (), {'a:80', 'b:80'}),
            ('key_with_homes', ('key-farm',), {'b:80'}),
            ('key_without_homes', ('key-press',), {'a:80', 'b:80'}),
            ('unknown_key', ('x',), {'a:80', 'b:80'}),
            ('two_keys', ('key-farm', 'key-press'), {'a:80', 'b:80'}),
        ]
    )
    def test_directory(
        self, _name: str, keys: tuple[str, ...], named: set[str]
    ) -> None:
        edge = Edge(instance('a', 'wien-a'), REGION_BY_DOMAIN, Bounds())
        edges = (instance('a', 'wien-a'), instance('b', 'tirol-a'))
        edge.apply(feed(*edges), document_with_accounts())
        found = edge.resolve('shop.example', '', '', NOW, keys)
        self.assertEqual(set(found.addresses), named)

    @parameterized.expand(HOMES)
    def test_home_regions(
        self, _name: str, route: Any, account: Any, allowed: Any
    ) -> None:
        identity = Identity(
            Account('a', frozenset(), home_regions=frozenset(account))
        )
        combined = combine_home_regions(frozenset(route), identity)
        self.assertEqual(combined, frozenset(allowed))

"""Every fault of a settings document is reported with path and remedy."""

import copy
import json
import unittest
from typing import Any

from parameterized import parameterized

from turmericmast.settings import parse_settings


def _member(name: str, port: int) -> dict[str, Any]:
    return {
        'member': name,
        'peer': f'127.0.0.1:{port}',
        'http': f'127.0.0.1:{port + 1}',
    }


GOOD: dict[str, Any] = {
    'name': 'entry-1',
    'region': 'tirol',
    'domain': 'tirol-a',
    'http': '127.0.0.1:8000',
    'ordering_region': 'tirol',
    'regions': {
        'tirol': {
            'domains': ['tirol-a', 'tirol-b'],
            'control': [
                _member(f'c{number}', 7000 + 10 * number) for number in range(3)
            ],
            'ledger': [
                _member(f'l{number}', 7100 + 10 * number) for number in range(3)
            ],
        },
    },
}

REMOVED = object()

BAD = [
    ('unknown_key', ['colour'], 'red', 'colour: unknown key'),
    ('missing', ['name'], REMOVED, 'name: missing; write a non-empty string'),
    ('wrong_type', ['name'], 7, 'name: found 7'),
    ('no_port', ['http'], '127.0.0.1', 'http: found'),
    ('host_name', ['http'], 'localhost:80', 'http: found'),
    ('large_port', ['http'], '127.0.0.1:70000', 'http: found'),
    ('unknown_region', ['region'], 'wien', 'region: found'),
    ('unknown_ordering', ['ordering_region'], 'wien', 'ordering_region: found'),
    ('unknown_domain', ['domain'], 'wien-a', 'domain: found'),
    ('no_regions', ['regions'], {}, 'regions: found {}'),
    (
        'no_domains',
        ['regions', 'tirol', 'domains'],
        [],
        'regions.tirol.domains: found []',
    ),
    (
        'even_votes',
        ['regions', 'tirol', 'control'],
        [_member('c1', 7000), _member('c2', 7010)],
        'regions.tirol.control: 2 votes; write an odd number',
    ),
    (
        'duplicate_member',
        ['regions', 'tirol', 'control', 1, 'member'],
        'c0',
        "member 'c0' is used 2 times",
    ),
    (
        'duplicate_address',
        ['regions', 'tirol', 'ledger', 1, 'peer'],
        '127.0.0.1:7000',
        "peer '127.0.0.1:7000' is used 2 times",
    ),
    (
        'member_key',
        ['regions', 'tirol', 'control', 0, 'weight'],
        1,
        'regions.tirol.control[0].weight: unknown key',
    ),
    (
        'all_witnesses',
        ['regions', 'tirol', 'control'],
        [{**_member('c0', 7000), 'witness': True}],
        'regions.tirol.control: too many witnesses',
    ),
    (
        'witness_type',
        ['regions', 'tirol', 'control', 0, 'witness'],
        'yes',
        'regions.tirol.control[0].witness: not a boolean',
    ),
    ('group_type', ['regions', 'tirol', 'control'], 'c1', 'control: found'),
    ('data_type', ['data'], 5, 'data: found 5; write a path'),
]


def _changed(path: list[Any], replacement: Any) -> dict[str, Any]:
    document = copy.deepcopy(GOOD)
    place: Any = document
    for step in path[:-1]:
        place = place[step]
    if replacement is REMOVED:
        place.pop(path[-1])
    else:
        place[path[-1]] = replacement
    return document


class SettingsTest(unittest.TestCase):
    """Documents are parsed, or rejected with all of their faults."""

    def test_good_document(self) -> None:
        settings = parse_settings(json.dumps(GOOD)).unwrap()
        self.assertEqual(3, len(settings.own_region.control))
        self.assertEqual({'tirol'}, settings.regions)

    @parameterized.expand(BAD)
    def test_bad_document(
        self,
        _name: str,
        path: list[Any],
        replacement: Any,
        expected: str,
    ) -> None:
        text = json.dumps(_changed(path, replacement))
        error = parse_settings(text).failure()
        self.assertIn(expected, error.show())
        self.assertEqual(2, error.exit_status)

    @parameterized.expand([('no_json', '{'), ('list', '[]'), ('text', '"a"')])
    def test_not_a_json_object(self, _name: str, text: str) -> None:
        self.assertIn('document: ', parse_settings(text).failure().show())

    def test_all_faults_are_shown_at_once(self) -> None:
        document = _changed(['name'], 7)
        document['colour'] = 'red'
        shown = parse_settings(json.dumps(document)).failure().show()
        self.assertEqual(2, len(shown.splitlines()))

"""Tests of the fleet document, its versions and its explanations."""

import json
import unittest
from typing import Any

from parameterized import parameterized
from returns.result import Success

from turmericmast.fleet.document import digest_of, parse_document
from turmericmast.fleet.explanation import explain
from turmericmast.fleet.fleet import ChangeState, Fleet, FleetVersion, Proposal
from turmericmast.ids import (
    ChangeId,
    Digest,
    RegionId,
    ServiceId,
    Version,
)

HOME = {
    'service': 'orders',
    'reason': 'members sign under local law',
    'values': {'home_regions': ['tirol']},
}

BAD = [
    ('not_json', '{', 'document: not valid JSON'),
    ('not_an_object', '[]', 'document: not an object'),
    ('unknown_key', {'default': {}}, 'default: unknown key'),
    (
        'unknown_value',
        {'defaults': {'color': 1}},
        'defaults.color: unknown value; use one of home_regions',
    ),
    (
        'out_of_range',
        {'defaults': {'timeout_ms': 1}},
        'defaults.timeout_ms: found 1; write a number from 10 to 600000',
    ),
    (
        'boolean',
        {'defaults': {'queue_limit': True}},
        'defaults.queue_limit: found True',
    ),
    (
        'no_reason',
        {'exceptions': [{**HOME, 'reason': ' '}]},
        'exceptions[0].reason: no written reason',
    ),
    (
        'no_selector',
        {'exceptions': [{'reason': 'x', 'values': {'queue_limit': 1}}]},
        'exceptions[0]: no selector',
    ),
    (
        'no_values',
        {'exceptions': [{'service': 's', 'reason': 'x'}]},
        'exceptions[0].values: sets no values',
    ),
    (
        'selector_type',
        {'exceptions': [{**HOME, 'service': 5}]},
        'exceptions[0].service: not a non-empty string',
    ),
    (
        'home_regions_type',
        {'defaults': {'home_regions': 'tirol'}},
        "defaults.home_regions: found 'tirol'; write a list",
    ),
]


def _proposal(fleet: Fleet, change: str, document: Any) -> Proposal:
    return Proposal(
        ChangeId(change),
        fleet.current.version,
        fleet.current.digest,
        json.dumps(document),
    )


class FleetDocumentTest(unittest.TestCase):
    """Validation of documents and precedence of exceptions."""

    @parameterized.expand(BAD)
    def test_bad_document(
        self,
        _name: str,
        document: Any,
        expected: str,
    ) -> None:
        text = document if isinstance(document, str) else json.dumps(document)
        self.assertIn(expected, parse_document(text).failure().show())

    @parameterized.expand(
        [
            ('default', {'service': 'stock'}, 100),
            ('service', {'service': 'plans'}, 200),
            ('service_and_tenant', {'service': 'plans', 'tenant': 'x'}, 300),
            ('route', {'service': 'plans', 'route': '/big/1'}, 400),
            ('other_tenant', {'service': 'plans', 'tenant': 'y'}, 200),
        ],
    )
    def test_most_specific_exception_takes_precedence(
        self,
        _name: str,
        subject: dict[str, str],
        expected: int,
    ) -> None:
        document = parse_document(
            json.dumps(
                {
                    'defaults': {'queue_limit': 100},
                    'exceptions': [
                        _limit(300, service='plans', tenant='x'),
                        _limit(200, service='plans'),
                        _limit(400, service='plans', route='/big'),
                    ],
                },
            ),
        ).unwrap()
        self.assertEqual(expected, document.values_for(subject).queue_limit)

    def test_explanation_gives_reason_and_origin(self) -> None:
        document = parse_document(json.dumps({'exceptions': [HOME]})).unwrap()
        explanations = explain(document, {'service': 'orders'})
        explanation_by_name = {
            explanation.name: explanation for explanation in explanations
        }
        self.assertEqual(
            HOME['reason'],
            explanation_by_name['home_regions'].reason,
        )
        self.assertEqual('defaults', explanation_by_name['queue_limit'].origin)


def _limit(limit: int, **selector: str) -> dict[str, Any]:
    return {**selector, 'reason': 'x', 'values': {'queue_limit': limit}}


class FleetTest(unittest.TestCase):
    """Concurrent proposals, resends, acceptance and adoption of versions."""

    def setUp(self) -> None:
        self.fleet = Fleet(RegionId('tirol'))
        self.first = _proposal(self.fleet, 'a', {'defaults': {}})

    def _propose(self, proposal: Proposal) -> Any:
        return self.fleet.propose(proposal, frozenset((ServiceId('orders'),)))

    def test_conflict_names_the_change_that_came_first(self) -> None:
        second = _proposal(self.fleet, 'b', {'exceptions': []})
        self.assertEqual(1, self._propose(self.first).unwrap().version)
        shown = self._propose(second).failure().show()
        self.assertIn('version 1', shown)
        self.assertIn('change a', shown)

    def test_resend_gets_the_answer_of_the_original(self) -> None:
        before = self._propose(self.first).unwrap()
        later = _proposal(self.fleet, 'b', {'exceptions': []})
        self._propose(later).unwrap()
        self.assertEqual(before, self._propose(self.first).unwrap())
        self.assertEqual(2, self.fleet.current.version)

    def test_change_id_cannot_be_used_for_another_document(self) -> None:
        self._propose(self.first).unwrap()
        other = _proposal(self.fleet, 'a', {'defaults': {'queue_limit': 9}})
        shown = self._propose(other).failure().show()
        self.assertIn('used for another document', shown)

    def test_bad_document_changes_nothing(self) -> None:
        bad = _proposal(self.fleet, 'a', {'colour': 1})
        self._propose(bad).failure()
        self.assertEqual(0, self.fleet.current.version)

    @parameterized.expand(
        [
            (
                'moved_by_default',
                {'defaults': {'ledger_region': 'wien'}},
                False,
            ),
            ('same', {'defaults': {'ledger_region': 'tirol'}}, True),
            ('unset', {'defaults': {}}, True),
            (
                'service_without_targets',
                {
                    'defaults': {'ledger_region': 'tirol'},
                    'exceptions': [
                        {
                            **HOME,
                            'service': 'plans',
                            'values': {'home_regions': ['wien']},
                        },
                    ],
                },
                True,
            ),
            (
                'moved_by_exception',
                {
                    'defaults': {'ledger_region': 'tirol'},
                    'exceptions': [
                        {**HOME, 'values': {'home_regions': ['wien']}},
                    ],
                },
                False,
            ),
        ],
    )
    def test_ledger_region_of_a_service_with_targets_cannot_change(
        self,
        _name: str,
        document: Any,
        allowed: bool,
    ) -> None:
        start = {'defaults': {'ledger_region': 'tirol'}}
        self._propose(_proposal(self.fleet, 'a', start)).unwrap()
        answer = self._propose(_proposal(self.fleet, 'b', document))
        self.assertIs(allowed, isinstance(answer, Success))

    def test_accepted_only_when_in_force_in_every_region(self) -> None:
        regions = frozenset((RegionId('a'), RegionId('b')))
        proposed = self._propose(self.first).unwrap()
        for region, accepted in (('a', False), ('b', True)):
            self.assertIs(
                accepted,
                self.fleet.report_in_force(
                    RegionId(region),
                    proposed.version,
                    regions,
                ),
            )
        self.assertIs(
            ChangeState.accepted, self.fleet.state_of(proposed.version)
        )

    @parameterized.expand([('older', 1, False), ('newer', 3, True)])
    def test_adopting_region_never_goes_back(
        self,
        _name: str,
        version: int,
        adopted: bool,
    ) -> None:
        self.fleet.adopt(_version(2), Version(2))
        self.assertIs(adopted, self.fleet.adopt(_version(version), Version(0)))
        self.assertGreaterEqual(self.fleet.current.version, 2)
        self.assertEqual(2, self.fleet.accepted)


def _version(number: int) -> FleetVersion:
    digest = Digest(digest_of('{}'))
    return FleetVersion(Version(number), digest, '{}')

"""Explains a request by the logged events of all processes."""

import unittest
from typing import Any

from parameterized import parameterized

from turmericmast.programs.why import describe_time_range, explain_request


def _event(at: int, process: str, event: str, **fields: Any) -> dict[str, Any]:
    return {'clock': [at, 0], 'process': process, 'event': event, **fields}


EVENTS = [
    _event(1000, 'e1', 'started'),
    _event(2000, 'e1', 'target_trust', target='t1', trust='shunned'),
    _event(2100, 'e1', 'target_trust', target='t9', trust='shunned'),
    _event(2200, 'e2', 'target_trust', target='t1', trust='shunned'),
    _event(2900, 'e1', 'request_repeated', request='r', tried='t1'),
    _event(3000, 'e1', 'request_refused', request='r', tried='t1,t2'),
    _event(3001, 'e1', 'request_refused', request='other'),
    _event(9000, 'e1', 'target_trust', target='t1', trust='warm'),
]


class ExplainRequestTest(unittest.TestCase):
    """The events of a request with their context, and what the logs cover."""

    @parameterized.expand(
        [
            ('request_with_targets', 'r', [1000, 2000, 2900, 3000]),
            ('request_without_targets', 'other', [1000, 3001]),
            ('unknown_request', 'x', []),
        ],
    )
    def test_events_of_request(
        self, _name: str, request: str, times: list[int]
    ) -> None:
        times_found = [
            event['clock'][0] for event in explain_request(EVENTS, request)
        ]
        self.assertEqual(times_found, times)

    @parameterized.expand([('target_leaving',), ('target_paused',)])
    def test_statements_of_targets_are_shown(self, name: str) -> None:
        statement = _event(2800, 'e1', name, target='t1')
        of_another = _event(2800, 'e1', name, target='t9')
        explanation = explain_request([*EVENTS, statement, of_another], 'r')
        self.assertIn(statement, explanation)
        self.assertNotIn(of_another, explanation)

    @parameterized.expand(
        [('some_events', EVENTS, '1000 to 9000'), ('no_events', [], 'no')]
    )
    def test_time_range(
        self,
        _name: str,
        events: list[dict[str, Any]],
        text: str,
    ) -> None:
        self.assertIn(text, describe_time_range(events))

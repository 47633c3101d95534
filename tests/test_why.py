"""From the id of a request to its cause, by lines alone."""

import unittest
from typing import Any

from parameterized import parameterized

from turmericmast.programs.why import describe_time_range, explain_request


def _line(at: int, process: str, event: str, **fields: Any) -> dict[str, Any]:
    return {'clock': [at, 0], 'process': process, 'event': event, **fields}


LINES = [
    _line(1000, 'e1', 'started'),
    _line(2000, 'e1', 'target_trust', target='t1', trust='shunned'),
    _line(2100, 'e1', 'target_trust', target='t9', trust='shunned'),
    _line(2200, 'e2', 'target_trust', target='t1', trust='shunned'),
    _line(2900, 'e1', 'request_repeated', request='r', tried='t1'),
    _line(3000, 'e1', 'request_refused', request='r', tried='t1,t2'),
    _line(3001, 'e1', 'request_refused', request='other'),
    _line(9000, 'e1', 'target_trust', target='t1', trust='warm'),
]


class StoryTest(unittest.TestCase):
    """The lines of a request, and the beliefs that led to them."""

    @parameterized.expand(
        [
            ('known', 'r', [1000, 2000, 2900, 3000]),
            ('other', 'other', [1000, 3001]),
            ('unknown', 'x', []),
        ],
    )
    def test_story(self, _name: str, request: str, times: list[int]) -> None:
        found = [event['clock'][0] for event in explain_request(LINES, request)]
        self.assertEqual(found, times)

    @parameterized.expand([('some', LINES, '1000 to 9000'), ('none', [], 'no')])
    def test_span(
        self,
        _name: str,
        lines: list[dict[str, Any]],
        text: str,
    ) -> None:
        self.assertIn(text, describe_time_range(lines))

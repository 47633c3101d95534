"""Which responses let their connection serve another request."""

import unittest

from parameterized import parameterized

from turmericmast.web.persistence import persists

LENGTH = 'Content-Length: 3'


class PersistenceTest(unittest.TestCase):
    """Guards against a target that counts as faulty for closing connections."""

    @parameterized.expand(
        [
            ('length', ['HTTP/1.1 200 OK', LENGTH], 'GET', True),
            (
                'chunks',
                ['HTTP/1.1 200', 'transfer-encoding: Chunked'],
                '',
                True,
            ),
            ('until_the_end', ['HTTP/1.1 200 OK'], 'GET', False),
            ('gzip', ['HTTP/1.1 200 OK', 'Transfer-Encoding: gzip'], '', False),
            ('empty', ['HTTP/1.1 204 Empty'], 'GET', True),
            ('head', ['HTTP/1.1 200 OK'], 'HEAD', True),
            ('close', ['HTTP/1.1 200', 'Connection: Close', LENGTH], '', False),
            (
                'close_among_others',
                [
                    'HTTP/1.1 200',
                    'Connection: close',
                    'Connection: X-Note',
                    LENGTH,
                ],
                '',
                False,
            ),
            ('old', ['HTTP/1.0 200 OK', LENGTH], 'GET', False),
        ]
    )
    def test_persists(
        self, _name: str, lines: list[str], method: str, expected: bool
    ) -> None:
        self.assertIs(persists(lines, method), expected)

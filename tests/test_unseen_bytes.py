"""Bytes that curl skips without passing anything on."""

import socket
import unittest.mock
from typing import TypeAlias

from parameterized import parameterized

from turmericmast.web.responselimits import MAX_FRAMING_BYTES
from turmericmast.web.unseenbytes import RECEIVED_BYTES, UnseenBytes

Read: TypeAlias = tuple[bool, int]
"""Whether curl passed something on, and all bytes received until then."""
FD = 7
BEFORE = 1_000_000
"""Bytes that earlier responses on the connection had."""

READS: list[tuple[str, list[Read], bool]] = [
    ('first_read', [(False, BEFORE + MAX_FRAMING_BYTES)], False),
    ('at_the_limit', [(False, 0), (False, MAX_FRAMING_BYTES)], False),
    ('over_the_limit', [(False, 0), (False, MAX_FRAMING_BYTES + 1)], True),
    (
        'progress_in_between',
        [(False, 0), (True, BEFORE), (False, BEFORE)],
        False,
    ),
    (
        'over_the_limit_after_progress',
        [(True, BEFORE), (False, BEFORE), (False, 2 * BEFORE)],
        True,
    ),
]


class UnseenBytesTest(unittest.TestCase):
    """Only bytes since the last progress count."""

    # Guards against a chunk extension without end that is read until the
    # deadline of its request (issue 33, bytes without end).
    @parameterized.expand(READS)
    def test_reads(self, _name: str, reads: list[Read], wanted: bool) -> None:
        unseen = UnseenBytes()
        for has_progress, received in reads:
            unseen.begin()
            if has_progress:
                unseen.note_progress()
            with unittest.mock.patch(
                'turmericmast.web.unseenbytes._received_bytes',
                return_value=received,
            ):
                is_excessive = unseen.is_excessive(FD)
        self.assertIs(is_excessive, wanted)

    @parameterized.expand(
        [
            ('refused', OSError('not supported')),
            ('too_short', [b'\0' * (RECEIVED_BYTES.size - 1)] * 2),
        ]
    )
    def test_kernel_without_the_count(self, _name: str, told: object) -> None:
        unseen = UnseenBytes()
        with (
            socket.socket() as connection,
            unittest.mock.patch(
                'socket.socket.getsockopt', side_effect=told, create=True
            ),
        ):
            reads = [unseen.is_excessive(connection.fileno()) for _ in '12']
            self.assertGreaterEqual(connection.fileno(), 0)
        self.assertEqual(reads, [False, False])

"""What decoding a message from a peer costs, whatever its bytes are."""

import asyncio
import itertools
import time
import unittest.mock
from collections.abc import Callable, Iterator
from typing import Any

from parameterized import parameterized
from returns.result import Failure
from thrift.protocol.TCompactProtocol import TCompactProtocol
from tornado.testing import bind_unused_port

from tests.edge_samples import feed, instance, target
from turmericmast.clock import HybridClock, SystemClock
from turmericmast.cluster.records import ClusterFeed
from turmericmast.ids import Index, InstanceId, MemberId, Term
from turmericmast.metrics import Metrics
from turmericmast.replica.messages import HandOver, Install, Snapshot
from turmericmast.wire import requests
from turmericmast.wire.codec import (
    Envelope,
    decode_envelope,
    decode_envelope_pieces,
    decode_received,
    encode,
    encode_envelope,
)
from turmericmast.wire.frame import (
    LENGTH_PREFIX,
    MAX_FIRST_FRAME_BYTES,
    MAX_FRAME_BYTES,
    pack_frame,
)
from turmericmast.wire.link import ProcessContext
from turmericmast.wire.receiving import (
    MAX_RECORDS,
    MAX_STRING_BYTES,
    MAX_STRUCTURE_BYTES,
    MAX_TEXT_BYTES,
    split,
)
from turmericmast.wire.server import Handler, PeerServer

LONGEST_STOP = 0.25
"""Seconds of processor time for which one message may hold the loop.

A request that is held that long past the time limit of its route costs."""
LONG = MAX_FRAME_BYTES
"""Bytes of the longest message."""
FIRST = MAX_FIRST_FRAME_BYTES - 64
"""Bytes of the longest message that any client may send."""
LONGEST_LIST = 999_999
"""Elements of a list that older builds decoded."""
STRUCT = 12
LIST = 9
TEXT = 8
TRUE = 1


def _varint(number: int) -> bytes:
    if number < 128:
        return bytes([number])
    return bytes([number & 127 | 128]) + _varint(number >> 7)


def _field(number: int, kind: int) -> bytes:
    return bytes([kind]) + _varint(2 * number)


BODY = _field(5, STRUCT)
FEED = BODY + _field(60, STRUCT)


def _lists(start: bytes, field: int, kind: int, element: bytes) -> bytes:
    """Return one list after another in one field, as long as ``FIRST``."""
    length = LONGEST_LIST // len(element)
    many = _field(field, LIST) + bytes([0xF0 | kind]) + _varint(length)
    many += element * length
    return start + many * (FIRST // len(many))


def _text(octets: bytes, length: int) -> bytes:
    """Return the sender of an envelope, ``length`` bytes of text."""
    return _field(4, TEXT) + _varint(length) + octets * (length // len(octets))


ENDLESS = (
    ('nothing', bytes(LONG)),
    ('letters', b'x' * LONG),
    ('fields_of_no_byte', b'\x11' * LONG),
    ('numbers', b'\x15' * LONG),
    ('other_numbers', b'\x16' * LONG),
    ('short_strings', b'\x18\x01x' * (LONG // 3)),
    ('other_bytes', b'\xff' * LONG),
    ('long_text', _text(b'\xff', MAX_STRING_BYTES - 64)),
    ('long_text_twice', _text(b'\xff', LONG // 2 - 64) * 2),
    ('wide_text', _text('\U0001f600'.encode(), MAX_STRING_BYTES - 64)),
    ('empty_targets', _lists(FEED, 5, STRUCT, b'\0')),
    ('empty_names', _lists(FEED, 4, TEXT, b'\0')),
    ('empty_probes', BODY + (_field(1, STRUCT) + b'\0') * (FIRST // 3)),
    ('unknown_lists', _lists(BODY, 90, LIST, b'\x03')),
    ('unknown_flags', _lists(BODY, 90, TRUE, b'\1')),
    ('unknown_structs', _lists(BODY, 90, STRUCT, b'\0')),
    ('small_targets', _lists(FEED, 5, STRUCT, b'\x18\0' * 4 + b'\0')),
)


class DecodingTest(unittest.TestCase):
    """No bytes are decoded for longer than the loop may stop."""

    # Guards against one message that stops a process: its bytes had no
    # meaning, or empty records, each of which took a microsecond.
    @parameterized.expand(ENDLESS)
    def test_stop_for_a_message_without_meaning(
        self, _name: str, octets: bytes
    ) -> None:
        pieces = split(octets)
        started = time.process_time()
        decoded = decode_envelope_pieces(pieces)
        self.assertLess(time.process_time() - started, LONGEST_STOP)
        self.assertIsInstance(decoded, Failure)

    @parameterized.expand(
        [
            ('most_records', MAX_RECORDS - 10, True),
            ('too_many', MAX_RECORDS + 1, False),
        ]
    )
    def test_stop_for_many_records(
        self, _name: str, records: int, is_decoded: bool
    ) -> None:
        targets = tuple(map(target, map(str, range(records))))
        octets = encode(feed(targets=targets))
        started = time.process_time()
        decoded = decode_received(octets)
        self.assertLess(time.process_time() - started, LONGEST_STOP)
        self.assertEqual(not isinstance(decoded, Failure), is_decoded)


def _envelope(body: object, sender: str = 'peer') -> Envelope:
    return Envelope(1, 0, 1, sender, body)


def _install(octets: int) -> Install:
    snapshot = Snapshot(Index(7), Term(2), (), b's' * octets)
    return Install(Term(2), MemberId('m'), 1.5, snapshot)


def _full_feed() -> ClusterFeed:
    """Return a feed of the target size."""
    return feed(
        *[instance(f'front-tirol-a-{number}') for number in range(315)],
        targets=tuple(target(str(number)) for number in range(1300)),
    )


VALID: tuple[tuple[str, Callable[[], Envelope]], ...] = (
    ('snapshot', lambda: _envelope(_install(MAX_STRING_BYTES))),
    (
        'snapshot_beside_text',
        lambda: _envelope(_install(MAX_STRUCTURE_BYTES), 'größe' * 9999),
    ),
    ('full_feed', lambda: _envelope(_full_feed())),
    (
        'most_text',
        lambda: _envelope(
            HandOver(Term(1), MemberId('a')), 'ü' * (MAX_TEXT_BYTES // 2 - 99)
        ),
    ),
)


class ValidMessagesTest(unittest.TestCase):
    """Long messages of our own processes are decoded as they were."""

    @parameterized.expand(VALID)
    def test_long_message(
        self, _name: str, make: Callable[[], Envelope]
    ) -> None:
        envelope = make()
        octets = encode_envelope(envelope)
        self.assertEqual(decode_envelope(octets).unwrap(), envelope)

    @parameterized.expand(VALID[1:])
    def test_without_the_native_decoder(
        self, _name: str, make: Callable[[], Envelope]
    ) -> None:
        envelope = make()
        octets = encode_envelope(envelope)
        with unittest.mock.patch(
            'turmericmast.wire.receiving.TCompactProtocolAccelerated',
            TCompactProtocol,
        ):
            self.assertEqual(decode_envelope(octets).unwrap(), envelope)


class _KeepingHandler(Handler):
    """Keeps the messages."""

    def __init__(self) -> None:
        self.messages: list[Any] = []

    async def handle(self, sender: str, body: Any) -> None:
        """Keep a message."""
        self.messages.append(body)


def _chunks(octets: bytes) -> Iterator[bytes]:
    for start in itertools.count(step=1_048_576):
        chunk = octets[start : start + 1_048_576]
        if not chunk:
            return
        yield chunk


async def _longest_stop(stops: list[float]) -> None:
    last = time.process_time()
    while True:
        await asyncio.sleep(0)
        now = time.process_time()
        stops.append(now - last)
        last = now


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """A process goes on while a peer sends it a long frame."""

    # Guards against a frame that stops the process that receives it.
    @parameterized.expand(
        [
            ('without_meaning', b'\x15' * LONG, 1, 1),
            ('of_no_bytes', b'\x11' * LONG, 1, 1),
            (
                'snapshot',
                encode_envelope(_envelope(_install(MAX_STRING_BYTES))),
                2,
                0,
            ),
        ]
    )
    async def test_stop_for_a_frame(
        self, _name: str, octets: bytes, messages: int, bad: int
    ) -> None:
        context = ProcessContext('me', HybridClock(SystemClock()), Metrics())
        handler = _KeepingHandler()
        server = PeerServer(context, handler)
        sock, port = bind_unused_port()
        server.add_socket(sock)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        watch = requests.Watch(InstanceId('e'), Index(1))
        writer.write(pack_frame(_envelope(watch)))
        stops: list[float] = []
        counting = asyncio.ensure_future(_longest_stop(stops))
        for chunk in _chunks(LENGTH_PREFIX.pack(len(octets)) + octets):
            writer.write(chunk)
            await writer.drain()
        writer.write_eof()
        await asyncio.wait_for(reader.read(), 10)
        counting.cancel()
        writer.close()
        server.close_all()
        self.assertLess(max(stops), LONGEST_STOP)
        self.assertEqual(len(handler.messages), messages)
        self.assertEqual(context.metrics.count_by_name['frames_bad', ()], bad)

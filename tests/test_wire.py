"""Tests of messages between processes: codec, links, server and client."""

import asyncio
import contextlib
import dataclasses
import inspect
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from returns.result import Failure, Success
from tornado.testing import AsyncTestCase, bind_unused_port, gen_test

from tests.test_region import Driver
from turmericmast.balance import news
from turmericmast.clock import HybridClock, SystemClock
from turmericmast.cluster import records as cluster_records
from turmericmast.ids import (
    Epoch,
    Fingerprint,
    Incarnation,
    Index,
    InstanceId,
    MemberId,
    Seconds,
    Term,
)
from turmericmast.ledger.commands import Purge
from turmericmast.metrics import Metrics
from turmericmast.region import commands
from turmericmast.region.snapshot import take_snapshot
from turmericmast.replica import messages
from turmericmast.wire import (
    clusterrequests,
    codec,
    replies,
    requests,
    watchrequests,
)
from turmericmast.wire.catalogue import NAMES_BY_MODULE, find_class
from turmericmast.wire.client import GroupClient
from turmericmast.wire.frame import LENGTH_PREFIX, MAX_FIRST_FRAME_BYTES
from turmericmast.wire.generated import ttypes
from turmericmast.wire.link import Link, ProcessContext
from turmericmast.wire.mapping import WIRE_NAME_BY_FIELD
from turmericmast.wire.server import Handler, PeerServer


def _region() -> Any:
    driver = Driver()
    driver.open('a', 'tirol-a')
    driver.place('t1')
    return driver.region


ENTRY = messages.Entry(Index(3), Term(2), messages.EntryKind.command, b'\0x')
MESSAGES = [
    ('append', messages.Append(Term(1), MemberId('m'), Index(2), Term(1), Index(0), 0.5, (ENTRY,))),  # noqa: E501
    ('probe', messages.Probe(MemberId('m'), Incarnation('i'), True, False)),
    (
        'granted',
        requests.Granted(Epoch(1), 3000, _region().build_feed(Index(0))),
    ),
    ('nested', requests.ChangeRegion(commands.Suspect(Fingerprint('f'), 1, 2), True)),  # noqa: E501
    ('ledger', requests.ChangeLedger(Purge(5))),
    ('optional', requests.Changed()),
    ('snapshot', take_snapshot(_region())),
]  # fmt: skip


def _structs() -> list[type]:
    """Return the dataclasses that have a struct of the same name."""
    records = (
        message_class
        for module in (
            cluster_records,
            news,
            messages,
            requests,
            clusterrequests,
            watchrequests,
            replies,
        )
        for _name, message_class in inspect.getmembers(module, inspect.isclass)
        if dataclasses.is_dataclass(message_class)
    )
    return [
        message_class
        for message_class in dict.fromkeys(records)
        if hasattr(ttypes, message_class.__name__)
    ]


class CodecTest(unittest.TestCase):
    """Encoding and decoding are inverse; other octets fail to decode."""

    @parameterized.expand(MESSAGES)
    def test_round_trip(self, _name: str, message: Any) -> None:
        octets = codec.encode(message)
        self.assertEqual(message, codec.decode(octets).unwrap())
        envelope = codec.Envelope(1, 2, 3, 'me', message)
        octets = codec.encode_envelope(envelope)
        self.assertEqual(envelope, codec.decode_envelope(octets).unwrap())

    @parameterized.expand([(struct.__name__, struct) for struct in _structs()])
    def test_field_order_matches_idl(
        self,
        name: str,
        message_class: Any,
    ) -> None:
        spec = getattr(ttypes, name).thrift_spec
        self.assertEqual(
            [
                WIRE_NAME_BY_FIELD.get(field.name, field.name)
                for field in dataclasses.fields(message_class)
            ],
            [field[2] for field in spec if field],
        )

    def test_catalogue_matches_fields_of_body(self) -> None:
        listed = [name for names in NAMES_BY_MODULE.values() for name in names]
        known = [
            spec[3][0].__name__ for spec in ttypes.Body.thrift_spec if spec
        ]
        self.assertCountEqual(known, listed)
        for name in listed:
            with self.subTest(name):
                self.assertTrue(dataclasses.is_dataclass(find_class(name)))

    # Guards against a process that runs out of stack while it decodes.
    @parameterized.expand(
        [
            ('structs', b'\xfc', b'\x1c'),
            ('lists', b'\xf9', b'\x19'),
            ('maps', b'\xfb', b'\x01\xcc'),
        ]
    )
    def test_deep_nesting_fails_to_decode(
        self, _name: str, field: bytes, again: bytes
    ) -> None:
        octets = field + again * 1_000_000
        self.assertIsInstance(codec.decode(octets), Failure)
        self.assertIsInstance(codec.decode_envelope(octets), Failure)

    @settings(derandomize=True, max_examples=400)
    @given(st.binary(max_size=200))
    def test_random_octets_fail_to_decode(self, octets: bytes) -> None:
        self.assertIsInstance(codec.decode_envelope(octets), Failure)

    @settings(derandomize=True, max_examples=200)
    @given(st.integers(0, 10_000), st.integers(0, 255))
    def test_damaged_message_never_raises(self, where: int, what: int) -> None:
        octets = bytearray(codec.encode(MESSAGES[2][1]))
        octets[where % len(octets)] = what
        self.assertIsInstance(codec.decode(bytes(octets)), (Success, Failure))


class _FixedAnswer(Handler):
    """Answers every message alike, but a watch of index 9 only after 5 s."""

    def __init__(self, answer: Any = None) -> None:
        self.answer = answer

    async def handle(self, sender: str, body: Any) -> Any:
        """Return the answer that was given, or an empty ``Changed``."""
        if isinstance(body, requests.Watch) and body.known == 9:
            await asyncio.sleep(5)
        return self.answer or requests.Changed()


WATCH = requests.Watch(InstanceId('e'), Index(1))


class PeerTest(AsyncTestCase):
    """Links, servers and group clients over the loopback interface."""

    def setUp(self) -> None:
        super().setUp()
        self.stack = contextlib.ExitStack()
        self.metrics = Metrics()
        self.context = ProcessContext(
            'me', HybridClock(SystemClock()), self.metrics
        )
        self.address = self._serve(_FixedAnswer())

    def tearDown(self) -> None:
        self.stack.close()
        super().tearDown()

    def _serve(self, handler: Handler) -> str:
        sock, port = bind_unused_port()
        server = PeerServer(self.context, handler)
        server.add_socket(sock)
        self.stack.callback(server.close_all)
        return f'127.0.0.1:{port}'

    def _link(self, address: str) -> Link:
        return self.stack.enter_context(Link(self.context, address))

    @gen_test
    async def test_request_gets_its_answer(self) -> None:
        answer = await self._link(self.address).request(WATCH, 2)
        self.assertEqual(requests.Changed(), answer.unwrap())

    @gen_test
    async def test_late_answer_does_not_delay_others(self) -> None:
        link = self._link(self.address)
        late = link.request(requests.Watch(InstanceId('e'), Index(9)), 0.3)
        answers = await asyncio.gather(late, link.request(WATCH, 2))
        self.assertIn('no answer in 0.3 s', answers[0].failure().show())
        self.assertIsInstance(answers[1], Success)

    @gen_test
    async def test_unreachable_peer(self) -> None:
        sock, port = bind_unused_port()
        sock.close()
        answer = await self._link(f'127.0.0.1:{port}').request(WATCH, 0.5)
        self.assertIn(f'127.0.0.1:{port}', answer.failure().show())

    @parameterized.expand(
        [
            ('undecodable', LENGTH_PREFIX.pack(4) + b'spam'),
            ('too_long', LENGTH_PREFIX.pack(MAX_FIRST_FRAME_BYTES + 1)),
            ('http', b'GET / HTTP/1.1\r\n\r\n'),
        ],
    )
    def test_bad_frame_closes_only_its_connection(
        self,
        _name: str,
        octets: bytes,
    ) -> None:
        self.io_loop.run_sync(lambda: self._send_bad(octets))

    async def _send_bad(self, octets: bytes) -> None:
        link = self._link(self.address)
        await link.request(WATCH, 2)
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(octets)
        self.assertEqual(b'', await asyncio.wait_for(reader.read(), 3))
        writer.close()
        self.assertIsInstance(await link.request(WATCH, 2), Success)
        self.assertEqual(1, self.metrics.count_by_name['frames_bad', ()])

    @gen_test
    async def test_queue_is_bounded(self) -> None:
        sock, port = bind_unused_port()
        sock.close()
        link = self._link(f'127.0.0.1:{port}')
        for _ in range(2000):
            link.send(WATCH)
        dropped = sum(
            count
            for (name, _), count in self.metrics.count_by_name.items()
            if name == 'frames_dropped'
        )
        self.assertGreater(dropped, 1000)

    @parameterized.expand(
        [
            ('refused', replies.Refusal('step', 'no', 'hint'), 'no; hint'),
            ('no_leader', replies.NotNow(MemberId(''), 'not now'), 'not now'),
        ],
    )
    def test_group_client_reports_why_it_failed(
        self,
        _name: str,
        given_answer: Any,
        expected: str,
    ) -> None:
        self.io_loop.run_sync(
            lambda: self._request_from_group(given_answer, expected)
        )

    async def _request_from_group(
        self, given_answer: Any, expected: str
    ) -> None:
        address = self._serve(_FixedAnswer(given_answer))
        clock = SystemClock()
        client = GroupClient(self.context, clock, {MemberId('m'): address})
        self.stack.enter_context(client)
        answer = await client.request_once(WATCH, 1)
        self.assertIn(expected, answer.failure().show())

    @gen_test
    async def test_group_client_follows_hint_to_leader(self) -> None:
        follower = self._serve(
            _FixedAnswer(replies.NotNow(MemberId('c'), 'ask c'))
        )
        clock = SystemClock()
        client = GroupClient(
            self.context,
            clock,
            {
                MemberId('a'): follower,
                MemberId('b'): '127.0.0.1:1',
                MemberId('c'): self.address,
            },
        )
        self.stack.enter_context(client)
        answer = await client.request(WATCH, Seconds(clock.now() + 2))
        self.assertEqual(requests.Changed(), answer.unwrap())

"""Where bodies end, by their framing alone, without a network."""

import itertools
import socket
import unittest
from collections.abc import Iterator

from parameterized import parameterized

from tests.broken_answers import (
    BROKEN,
    CHUNK_EXTENSIONS,
    SOUND,
    Broken,
    Sound,
)
from turmericmast.web.bodyframing import (
    BodyFraming,
    NoBody,
    SizedBody,
    UnsizedBody,
)
from turmericmast.web.chosenframing import choose_framing
from turmericmast.web.chunkedbody import ChunkedBody
from turmericmast.web.connections import Connection, Descriptor
from turmericmast.web.headreading import HeadReading
from turmericmast.web.malformed import MalformedResponseError
from turmericmast.web.rawhead import PEEK_BYTES, RawHead
from turmericmast.web.receivedbytes import ReceivedBytes
from turmericmast.web.rejection import Rejection
from turmericmast.web.responsehead import read_head
from turmericmast.web.responselimits import (
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    HeadSize,
    OversizedError,
    OversizedPart,
)

CHUNKS = (
    b'2;a="b\\"";c\r\nab\r\n0003\r\n\r\n0\r\n'
    b'a\r\n0123456789\r\n000\r\nX-Odd: a\r\nX-Other:\n\r\n'
)
BODY = b'ab\r\n00123456789'
START = 'HTTP/1.1 200 OK'
FIELD_OF_LENGTH = 'Content-Length: 5'
FIELD_OF_CHUNKS = 'Transfer-Encoding: chunked'
FRAMINGS: list[tuple[str, str, list[str], str, type[BodyFraming]]] = [
    ('length', START, [FIELD_OF_LENGTH], 'GET', SizedBody),
    ('chunks', START, [FIELD_OF_CHUNKS], 'GET', ChunkedBody),
    ('both', START, [FIELD_OF_LENGTH, FIELD_OF_CHUNKS], 'GET', ChunkedBody),
    ('neither', START, [], 'GET', UnsizedBody),
    ('head', START, [FIELD_OF_LENGTH], 'HEAD', NoBody),
    ('head_of_chunks', START, [FIELD_OF_CHUNKS], 'HEAD', NoBody),
    ('no_content', 'HTTP/1.1 204 No', [FIELD_OF_LENGTH], 'GET', NoBody),
    ('no_content_in_chunks', 'HTTP/1.1 204 No', [FIELD_OF_CHUNKS], '', NoBody),
    ('not_modified', 'HTTP/1.1 304 No', [FIELD_OF_LENGTH], 'GET', NoBody),
    ('reset_content', 'HTTP/1.1 205 R', [FIELD_OF_LENGTH], 'GET', SizedBody),
    ('older_version', 'HTTP/1.0 200 OK', [], 'GET', UnsizedBody),
]
OVERSIZED: list[tuple[str, bytes, bytes, OversizedPart]] = [
    ('extension', b'5;a="', b'b', OversizedPart.framing),
    ('zeros', b'0', b'0', OversizedPart.framing),
    ('trailer', b'0\r\nX: ', b'y', OversizedPart.trailers),
    ('trailers', b'0\r\n', b'X: y\r\n', OversizedPart.trailers),
]
HEAD = b'HTTP/1.1 200 OK\r\nX-Odd: a\r\n b\r\n\r\n'
HINTS = b'HTTP/1.1 103 Hints\r\n\r\n'


def _chunked() -> ChunkedBody:
    return ChunkedBody(HeadSize())


def _part(start: int, end: int) -> bytes:
    return CHUNKS[start:end]


def _decode(framing: BodyFraming, pieces: Iterator[bytes]) -> bytes:
    return b''.join(map(framing.decode, pieces))


class ChosenFramingTest(unittest.TestCase):
    """The head and the method alone decide what ends a body."""

    # Guards against a body that is read where there is none, or without end.
    @parameterized.expand(FRAMINGS)
    def test_framing(
        self,
        _name: str,
        start: str,
        fields: list[str],
        method: str,
        expected: type[BodyFraming],
    ) -> None:
        framing = choose_framing(
            read_head([start, *fields]), method, HeadSize()
        )
        self.assertIs(type(framing), expected)


class SizedBodyTest(unittest.TestCase):
    """Bodies that curl ends elsewhere than the head says."""

    # Guards against a body that ends before, or goes on behind, its length.
    @parameterized.expand(
        [
            ('short', SizedBody(5), b'abcd', False),
            ('whole', SizedBody(5), b'abcde', True),
            ('unsized', UnsizedBody(), b'abc', True),
        ]
    )
    def test_end(
        self, _name: str, framing: BodyFraming, octets: bytes, is_complete: bool
    ) -> None:
        self.assertEqual(framing.decode(octets), octets)
        self.assertIs(framing.is_complete, is_complete)

    @parameterized.expand(
        [('long', SizedBody(5), b'abcdef'), ('none', NoBody(), b'a')]
    )
    def test_octets_beyond(
        self, _name: str, framing: BodyFraming, octets: bytes
    ) -> None:
        with self.assertRaises(MalformedResponseError) as raised:
            framing.decode(octets)
        self.assertIs(raised.exception.rejection, Rejection.disputed_end)


class ChunkedBodyTest(unittest.TestCase):
    """Bodies in chunks, as curl passes them on."""

    # Guards against a body that depends on how its octets arrive.
    def test_each_split(self) -> None:
        for first, second in itertools.combinations(range(len(CHUNKS)), 2):
            framing = _chunked()
            cuts = (0, first, second, len(CHUNKS))
            pieces = itertools.starmap(_part, itertools.pairwise(cuts))
            self.assertEqual(_decode(framing, pieces), BODY)
            self.assertTrue(framing.is_complete)
            self.assertFalse(framing.has_excess)

    def test_single_octets(self) -> None:
        framing = _chunked()
        octets = (CHUNKS[at : at + 1] for at in range(len(CHUNKS)))
        self.assertEqual(_decode(framing, octets), BODY)
        self.assertTrue(framing.is_complete)

    # Guards against a body that counts as whole before its end.
    def test_each_beginning(self) -> None:
        for end in range(len(CHUNKS)):
            framing = _chunked()
            framing.decode(CHUNKS[:end])
            self.assertFalse(framing.is_complete)

    # Guards against octets that count twice, since curl passes them on again.
    def test_octets_that_come_again(self) -> None:
        for end in range(len(CHUNKS)):
            framing = _chunked()
            body = framing.decode(CHUNKS[:end])
            framing.fork().decode(CHUNKS[end:])
            body += framing.fork().decode(CHUNKS[end:])
            self.assertEqual(body, BODY)

    # Guards against a second response that is taken for a part of the body.
    def test_octets_behind(self) -> None:
        framing = _chunked()
        self.assertEqual(framing.decode(CHUNKS + HEAD), BODY)
        self.assertTrue(framing.is_complete)
        self.assertTrue(framing.has_excess)
        self.assertEqual(framing.decode(HEAD), b'')

    # Guards against lines and trailers without end that are kept.
    @parameterized.expand(OVERSIZED)
    def test_line_over_its_limit(
        self, _name: str, once: bytes, again: bytes, part: OversizedPart
    ) -> None:
        framing = _chunked()
        framing.decode(once)
        with self.assertRaises(OversizedError) as raised:
            for _ in range(2 * MAX_FRAMING_BYTES // len(again)):
                framing.decode(again)
        self.assertIs(raised.exception.part, part)

    # Guards against trailers that have a limit of their own beside the head.
    def test_trailers_beside_a_long_head(self) -> None:
        size = HeadSize()
        size.add(b'a' * (MAX_HEAD_BYTES - 8))
        framing = ChunkedBody(size)
        framing.decode(b'0\r\nX: y\r\n')
        with self.assertRaises(OversizedError):
            framing.decode(b'X: y\r\n')

    def test_many_short_trailers(self) -> None:
        with self.assertRaises(OversizedError):
            _chunked().decode(b'0\r\n' + b'X:\r\n' * (MAX_HEAD_LINES + 1))

    # Guards against a pattern that takes time beyond the length of its line.
    @parameterized.expand(
        [
            (name, text)
            for name, text in (
                ('blanks', b'5' + b' ' * 60_000),
                ('tokens', b'5' + b';a=b' * 15_000 + b'@'),
                ('quotes', b'5;a="' + b'\\"' * 30_000),
                ('zeros', b'0' * 60_000 + b'@'),
            )
        ]
    )
    def test_long_malformed_line(self, _name: str, text: bytes) -> None:
        with self.assertRaises(MalformedResponseError):
            _chunked().decode(text + b'\r\n')

    # Guards against extensions that are refused on the last chunk alone.
    @parameterized.expand(CHUNK_EXTENSIONS.items())
    def test_extension(self, _name: str, extension: bytes) -> None:
        framing = _chunked()
        framing.decode(b'0' + extension + b'\r\n\r\n')
        self.assertTrue(framing.is_complete)


class HeadReadingTest(unittest.TestCase):
    """Heads as curl passes them on, line by line."""

    # Guards against sound heads that only a connection shows to be served.
    @parameterized.expand(
        [
            (name, sound.octets, sound.status)
            for name, sound in SOUND.items()
            if not name.startswith('interim')
        ]
    )
    def test_sound(self, _name: str, octets: bytes, status: int) -> None:
        reading = HeadReading()
        lines = octets.splitlines(keepends=True)
        heads = filter(None, map(reading.add, lines))
        self.assertEqual(next(heads).status, status)

    # Guards against a folded line that a version of curl passes on as it is.
    def test_line_that_was_not_joined(self) -> None:
        reading = HeadReading()
        with self.assertRaises(MalformedResponseError) as raised:
            list(map(reading.add, HEAD.splitlines(keepends=True)))
        self.assertIs(raised.exception.rejection, Rejection.folded_field)

    # Guards against a line that was joined with the status line.
    def test_status_line_that_was_joined(self) -> None:
        with self.assertRaises(MalformedResponseError) as raised:
            read_head([f'{START} x'], is_folded=True)
        self.assertIs(raised.exception.rejection, Rejection.folded_field)


class OwnReaderTest(unittest.TestCase):
    """Responses that are read without curl."""

    # Guards against broken responses that only a version of curl refuses.
    @parameterized.expand(BROKEN.items())
    def test_broken(self, _name: str, broken: Broken) -> None:
        with self.assertRaises(MalformedResponseError) as raised:
            _read(broken.octets)
        self.assertEqual(raised.exception.rejection.value, broken.reason)

    # Guards against sound responses that only curl reads to their end.
    @parameterized.expand(SOUND.items())
    def test_sound(self, _name: str, sound: Sound) -> None:
        framing, body = _read(sound.octets, sound.method)
        self.assertTrue(framing.is_complete)
        self.assertEqual(body, sound.body)


def _read(octets: bytes, method: str = 'GET') -> tuple[BodyFraming, bytes]:
    """Return the framing of a response, after its body, and the body."""
    reading = HeadReading()
    lines = [line + b'\n' for line in octets.split(b'\n')]
    heads = (reading.add(line) for line in lines)
    head = next(head for head in heads if head and not head.is_interim)
    framing = choose_framing(head, method, reading.size)
    body = octets[reading.size.octets :]
    return framing, framing.decode(body) if body else b''


class RawHeadTest(unittest.TestCase):
    """Heads that are looked at before curl reads them."""

    def setUp(self) -> None:
        """Connect a peer."""
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self.peer = socket.create_connection(listener.getsockname())
            self.own = listener.accept()[0]
        self.addCleanup(self.peer.close)
        self.addCleanup(self.own.close)
        descriptor = Descriptor(self.own.fileno())
        received = ReceivedBytes(Connection(descriptor))
        self.raw = RawHead(descriptor, received)

    def _receive(self, octets: bytes) -> None:
        """Send octets and wait until they have arrived."""
        self.peer.sendall(octets)
        size = len(octets)
        while len(self.own.recv(size, socket.MSG_PEEK)) < size:
            """Wait."""

    # Guards against folded lines that are lost with the pieces of a head.
    def test_each_split(self) -> None:
        for end in range(1, len(HEAD)):
            self.doCleanups()
            self.setUp()
            for piece in (HEAD[:end], HEAD[end:]):
                self._receive(piece)
                self.raw.look()
                self.own.recv(PEEK_BYTES)
            self.assertEqual(self.raw.take(), HEAD)

    def test_heads_in_one_segment(self) -> None:
        self._receive(HINTS + HEAD + b'body')
        self.raw.look()
        self.assertEqual(self.raw.take(), HINTS)
        self.assertEqual(self.raw.take(), HEAD)

    # Guards against a head that is taken for seen though a part of it is not.
    def test_octets_that_were_read_between_two_looks(self) -> None:
        self._receive(HEAD[:30])
        self.raw.look()
        self._receive(HEAD[:30])
        self.own.recv(PEEK_BYTES)
        self._receive(HEAD[30:])
        self.raw.look()
        self.assertIsNone(self.raw.take())

    def test_beginning_that_was_not_seen(self) -> None:
        self._receive(HEAD[30:])
        self.raw.look()
        self.assertIsNone(self.raw.take())
        self.assertEqual(self.raw.lines(), [])

    @parameterized.expand([('nothing', b''), ('a_part', HEAD[:20])])
    def test_head_that_has_not_ended(self, _name: str, octets: bytes) -> None:
        if octets:
            self._receive(octets)
        self.raw.look()
        self.assertIsNone(self.raw.take())

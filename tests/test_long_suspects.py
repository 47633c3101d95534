"""Quarantine of requests whose bodies are too long to be buffered."""

import asyncio
import contextlib
import unittest.mock
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from parameterized import parameterized
from tornado.httputil import HTTPHeaders

from tests.edge_harness import EdgeHarness
from tests.edge_samples import target
from turmericmast.call.call import Loss
from turmericmast.cluster.crashes import SuspectRecord
from turmericmast.edge.quarantine import CRASH_LIMIT
from turmericmast.ids import Fingerprint, Millis
from turmericmast.web.body import MAX_BUFFERED_BYTES
from turmericmast.web.edgeexchange import EdgeExchange
from turmericmast.web.malformed import MalformedResponseError
from turmericmast.web.transfer import Progress, ResponseHead, TransferRequest

OPENING = b'a' * MAX_BUFFERED_BYTES
SUSPECT = OPENING + b'b' * 100_000
BEGINS_ALIKE = OPENING + b'c' * 100_000
OTHER = b'd' + SUSPECT
SHORT = b'e' * 1000
LATER = Millis(10**9)

REQUESTS = [
    ('suspect', SUSPECT, 3, 100, 503, 0),
    ('suspect_in_other_chunks', SUSPECT, 3, 7001, 503, 0),
    ('crashed_twice', SUSPECT, 2, 100, 200, len(SUSPECT)),
    ('begins_alike', BEGINS_ALIKE, 3, 100, 200, len(BEGINS_ALIKE)),
    ('other', OTHER, 3, 100, 200, len(OTHER)),
    ('short', SHORT, 3, 100, 200, len(SHORT)),
]
"""Body, crashes of ``SUSPECT``, size of chunks, status, and bytes sent."""

NO_ROOM = [
    ('suspect', SUSPECT, 502, False),
    ('begins_alike', BEGINS_ALIKE, 200, True),
]
"""Body, status, and whether the whole body is sent."""

CRASHES = [
    ('within_the_body', OPENING + b'b' * 10, 1),
    ('after_the_body', SUSPECT, 2),
]
"""What had arrived when the target was lost, and fingerprints reported."""


class LongSuspectTest(unittest.IsolatedAsyncioTestCase):
    """A long body is identified as a whole, whatever it begins with."""

    def setUp(self) -> None:
        self.harness = EdgeHarness(target('1'), target('2'))
        self.target = _Target()
        self.connection = unittest.mock.Mock()

    # Guards against a request that crashes targets and is never refused,
    # since its body is longer than what is buffered (review/5, BUDGET).
    @parameterized.expand(REQUESTS)
    async def test_request(
        self,
        _name: str,
        body: bytes,
        crashes: int,
        chunk_size: int,
        status: int,
        sent: int,
    ) -> None:
        await self._let_crash(SUSPECT, crashes)
        await self._send(body, chunk_size)
        self.assertEqual(self._status(), status)
        self.assertEqual(len(self.target.received), sent)
        self.assertEqual(self.harness.context.held_bytes.size, 0)

    # Guards against a memory that fills with the bodies that are examined.
    @parameterized.expand(NO_ROOM)
    async def test_without_room(
        self, _name: str, body: bytes, status: int, is_whole: bool
    ) -> None:
        await self._let_crash(SUSPECT, CRASH_LIMIT)
        self.harness.context.held_bytes._limit = 50_000
        await self._send(body, 1000)
        self.assertEqual(self._status(), status)
        self.assertIs(self.target.received == body, is_whole)
        self.assertTrue(body.startswith(self.target.received))
        self.assertEqual(self.harness.context.held_bytes.size, 0)

    async def test_caller_leaves_while_its_body_is_held(self) -> None:
        await self._let_crash(SUSPECT, CRASH_LIMIT)
        exchange = self._exchange()
        for chunk in _chunks(SUSPECT[:-1], 1000):
            await exchange.data_received(chunk)
        self.assertGreater(self.harness.context.held_bytes.size, 0)
        exchange.on_connection_close()
        self.assertEqual(self.harness.context.held_bytes.size, 0)

    @parameterized.expand(CRASHES)
    async def test_crash_is_reported(
        self, _name: str, body: bytes, fingerprints: int
    ) -> None:
        reported = await self._crash(body, is_whole=body == SUSPECT)
        self.assertEqual(len(reported), fingerprints)
        again = await self._crash(body, is_whole=body == SUSPECT)
        self.assertEqual(again, reported)

    async def _let_crash(self, body: bytes, crashes: int) -> None:
        """Let targets crash on a body, and the core report that."""
        reported = await self._crash(body, is_whole=True)
        self.harness.edge.quarantine.update(
            SuspectRecord(fingerprint, crashes, LATER)
            for fingerprint in reported
        )
        self.target = _Target()
        self.connection.reset_mock()

    async def _crash(self, body: bytes, *, is_whole: bool) -> list[Fingerprint]:
        """Send a body to a target that is lost; return what is reported."""
        detector: Any = self.harness.context.crash_detector
        detector.reset_mock()
        self.harness.refresh()
        self.target = _Target(loss=Loss.connection_lost, crash_size=len(body))
        with self._running():
            exchange = self._exchange()
            for chunk in _chunks(body, 4096):
                await exchange.data_received(chunk)
            if is_whole:
                exchange.finish()
            await asyncio.wait_for(exchange._task or asyncio.sleep(0), 1)
        return [
            fingerprint
            for call in detector.check.call_args_list
            for fingerprint in call.args[1:]
        ]

    async def _send(self, body: bytes, chunk_size: int) -> None:
        self.harness.refresh()
        with self._running():
            exchange = self._exchange()
            for chunk in _chunks(body, chunk_size):
                await exchange.data_received(chunk)
                await asyncio.sleep(0)
            exchange.finish()
            if exchange._task:
                await asyncio.wait_for(exchange._task, 1)

    def _exchange(self) -> EdgeExchange:
        return EdgeExchange(
            self.harness.context, self.connection, self.harness.read()
        )

    def _status(self) -> int:
        return int(self.connection.write_headers.call_args.args[0].code)

    @contextlib.contextmanager
    def _running(self) -> Iterator[None]:
        with unittest.mock.patch(
            'turmericmast.web.edgeattempt.Transfer',
            lambda _curl, request, sink, _may_send: _Upload(
                self.target, request, sink
            ),
        ):
            yield


@dataclass
class _Target:
    """What a target has received, and how it ends."""

    received: bytes = b''
    loss: Loss | None = None
    crash_size: int = 0


class _Upload:
    """A transfer to a target that reads the whole body before it answers."""

    def __init__(
        self, receiver: _Target, request: TransferRequest, sink: Any
    ) -> None:
        self.progress = Progress.sending
        self.malformed: MalformedResponseError | None = None
        self._target = receiver
        self._request = request
        self._sink = sink
        self._resumed = asyncio.Event()
        self._is_cancelled = False

    async def run(self) -> Loss | None:
        """Read the body, then answer or crash."""
        while not self._is_cancelled:
            body: Any = self._request.body
            chunk = body.read(65_536)
            if chunk == b'':
                return self._answer()
            self._target.received += chunk or b''
            if chunk is None:
                if len(self._target.received) == self._target.crash_size:
                    return self._target.loss
                await self._resumed.wait()
                self._resumed.clear()
        return Loss.timed_out

    def resume(self) -> None:
        """Read on."""
        self._resumed.set()

    def cancel(self) -> None:
        """Stop reading."""
        self._is_cancelled = True
        self._resumed.set()

    def _answer(self) -> Loss | None:
        if self._target.loss:
            return self._target.loss
        headers = {'X-Request-Id': 'r', 'X-Response-Signature': 's'}
        self._sink.on_head(ResponseHead(200, '', HTTPHeaders(headers)))
        return None


def _chunks(body: bytes, size: int) -> Iterator[bytes]:
    return (body[start : start + size] for start in range(0, len(body), size))

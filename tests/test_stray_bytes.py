"""Targets that send bytes after their response, when nothing is asked."""

import asyncio
import contextlib
import itertools
import os
import socket
import struct
import unittest.mock
from collections.abc import Iterable
from types import TracebackType
from typing import Self, final

from parameterized import parameterized

from turmericmast.balance.framing import Stutter
from turmericmast.call.call import Loss
from turmericmast.web.curl import CurlClient
from turmericmast.web.keptconnections import StrayBytes
from turmericmast.web.lingering import (
    MAX_LINGER_BYTES,
    MAX_QUIET_SECONDS,
)
from turmericmast.web.transfer import (
    ResponseHead,
    ResponseSink,
    Transfer,
    TransferRequest,
)

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na'
SOON = 0.05
"""Seconds in which bytes arrive on loopback and are seen."""
WAIT = 5
"""Seconds within which a connection ends."""


def _response(size: int) -> bytes:
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'
    return head.encode() + bytes(size)


class StrayBytesTest(unittest.IsolatedAsyncioTestCase):
    """Bytes on an idle connection are reported as soon as they come.

    Guards against an incident that leaves no trace: curl closed connections
    with bytes of no request without a word.
    """

    @parameterized.expand(
        [
            ('one_byte', [b'x'], 1),
            ('second_response', [RESPONSE], len(RESPONSE)),
            ('in_two_parts', [RESPONSE[:5], RESPONSE[5:]], 5),
            ('nothing', [], None),
        ]
    )
    async def test_bytes_are_reported_once(
        self, _name: str, parts: Iterable[bytes], octets: int | None
    ) -> None:
        async with StrayTarget() as target:
            with CurlClient() as curl:
                strays: list[StrayBytes] = []
                curl.kept_connections.on_stray = strays.append
                for number in range(3):
                    await target.ask(curl, f'r-{number}')
                for part in parts:
                    target.write(part)
                    await asyncio.sleep(SOON)
        expected = StrayBytes(
            Stutter.idle, target.address, 'r-2', 3, octets or 0
        )
        self.assertEqual(strays, [expected] if octets else [])

    @parameterized.expand(
        [
            ('length', '', b'', True, None),
            ('more', '', RESPONSE, True, Stutter.excess),
            ('much_more', '', bytes(90_000), True, Stutter.excess),
            ('closing', 'Connection: close\r\n', b'', True, None),
            ('more_on_a_single_use', '', bytes(90_000), False, Stutter.excess),
        ]
    )
    async def test_bytes_after_a_response_are_reported(
        self,
        _name: str,
        fields: str,
        more: bytes,
        is_kept: bool,
        expected: Stutter | None,
    ) -> None:
        response = RESPONSE.replace(b'Cont', f'{fields}Cont'.encode())
        async with StrayTarget(response + more) as target:
            with CurlClient() as curl:
                strays: list[StrayBytes] = []
                curl.kept_connections.on_stray = strays.append
                await target.ask(curl, uses_kept_connection=is_kept)
                await asyncio.sleep(2 * SOON)
        self.assertEqual(
            [stray.stutter for stray in strays], [expected] if expected else []
        )

    async def test_end_of_an_idle_connection_is_no_stray_byte(self) -> None:
        async with StrayTarget() as target:
            with CurlClient() as curl:
                strays: list[StrayBytes] = []
                curl.kept_connections.on_stray = strays.append
                await target.ask(curl)
                target.writers[0].close()
                await asyncio.sleep(SOON)
        self.assertEqual(strays, [])


class LaterRequestTest(unittest.IsolatedAsyncioTestCase):
    """A request is not sent on a connection that holds bytes or was ended.

    Guards against lost orders: curl sends on a connection that it used less
    than a second ago, whatever has happened to it.
    """

    @parameterized.expand(
        [
            (f'{name}_{when}_{seconds}', octets, is_ended, seconds)
            for name, octets, is_ended in (
                ('second_response', RESPONSE, False),
                ('one_byte', b'x', False),
                ('last_words', RESPONSE, True),
                ('end', b'', True),
            )
            for when, seconds in (
                ('at_once', 0.001),
                ('soon', SOON),
                ('late', 1.2),
            )
        ]
    )
    async def test_request_gets_a_new_connection(
        self, _name: str, octets: bytes, is_ended: bool, seconds: float
    ) -> None:
        async with StrayTarget() as target:
            with CurlClient() as curl:
                await target.ask(curl, 'first')
                target.write(octets)
                if is_ended:
                    target.writers[0].close()
                await asyncio.sleep(seconds)
                sink = Sink()
                loss = await target.ask(curl, 'second', sink)
                third = await target.ask(curl, 'third')
        self.assertEqual((loss, sink.body, third), (None, b'a', None))
        self.assertEqual(target.requests, [0, 1, 1])

    @parameterized.expand(
        [
            (f'{name}_{seconds}', octets, seconds)
            for name, octets in (('reset', b''), ('last_words', RESPONSE))
            for seconds in (0.001, SOON, 1.2)
        ]
    )
    async def test_request_after_a_reset_gets_a_new_connection(
        self, _name: str, octets: bytes, seconds: float
    ) -> None:
        async with StrayTarget() as target:
            with CurlClient() as curl:
                await target.ask(curl, 'first')
                target.write(octets)
                target.reset()
                await asyncio.sleep(seconds)
                sink = Sink()
                loss = await target.ask(curl, 'second', sink)
        self.assertEqual((loss, sink.body), (None, b'a'))
        self.assertEqual(target.requests, [0, 1])


class SecondResponseTest(unittest.IsolatedAsyncioTestCase):
    """A target can finish a second response after the first one came whole.

    Guards against MIXED: the connection was reset within the second response,
    so that the target recorded a failure for a request that had succeeded.
    """

    @parameterized.expand(
        [
            (f'{where}_{size}', where, size)
            for where in ('idle', 'used_again', 'same_write', 'single_use')
            for size in (1, 60_000, 900_000)
        ]
    )
    async def test_connection_is_not_reset(
        self, _name: str, where: str, size: int
    ) -> None:
        first, second = _response(1), _response(size)
        is_joined = where == 'same_write'
        async with StrayTarget(
            first + second if is_joined else first
        ) as target:
            with CurlClient() as curl:
                is_kept = where != 'single_use'
                await target.ask(curl, uses_kept_connection=is_kept)
                # curl looks at a connection only after a second.
                await asyncio.sleep(1.1 if where == 'used_again' else 0)
                if not is_joined:
                    target.write(second[:100])
                    await asyncio.sleep(SOON)
                if where == 'used_again':
                    await target.ask(curl)
                rest = b'' if is_joined else second[100:]
                self.assertTrue(await target.write_to_end(rest))

    @parameterized.expand([('short', 1), ('long', 900_000)])
    async def test_rejected_response_is_not_reset(
        self, _name: str, size: int
    ) -> None:
        response = _response(size)
        async with StrayTarget(response[:60]) as target:
            with CurlClient() as curl:
                loss = await target.ask(curl, sink=Sink(is_foreign=True))
                await asyncio.sleep(SOON)
                # The target is told at once that the request is given up.
                self.assertEqual(len(target.endings), 1)
                self.assertTrue(await target.write_to_end(response[60:]))
        self.assertIsNotNone(loss)


class BoundsTest(unittest.IsolatedAsyncioTestCase):
    """What lingers is limited, and nothing is left open."""

    async def test_endless_response_is_ended(self) -> None:
        async with StrayTarget(_response(8 * MAX_LINGER_BYTES)) as target:
            with CurlClient() as curl:
                await target.ask(curl, sink=Sink(is_foreign=True))
                self.assertFalse(await target.write_to_end(b''))

    # Guards against the response to a former request: with many connections
    # that got bytes at once, the one that curl chose was not looked at.
    @parameterized.expand(
        [
            (f'{count}_{name}', count, step)
            for count in (3, 95)
            for name, step in (('first_to_last', 1), ('last_to_first', -1))
        ]
    )
    async def test_bytes_on_many_connections(
        self, _name: str, count: int, step: int
    ) -> None:
        async with StrayTarget() as target:
            with CurlClient() as curl:
                target.may_answer.clear()
                asked = [
                    asyncio.ensure_future(target.ask(curl))
                    for _ in range(count)
                ]
                while len(target.requests) < count:
                    await asyncio.sleep(SOON)
                target.may_answer.set()
                await asyncio.gather(*asked)
                # They arrive before the loop gets a turn.
                for writer in target.writers[::step]:
                    writer.write(RESPONSE[:-1] + b'b')
                sink = Sink()
                await target.ask(curl, sink=sink)
        self.assertEqual(sink.body, b'a')

    @parameterized.expand([('few', 3, 3), ('too_many', 9, 4)])
    @unittest.mock.patch('turmericmast.web.lingering.MAX_DUPLICATES', 4)
    async def test_descriptors(
        self, _name: str, count: int, lingering: int
    ) -> None:
        descriptors = len(os.listdir('/proc/self/fd'))
        async with StrayTarget() as target:
            with CurlClient() as curl:
                reported: list[StrayBytes] = []
                curl.kept_connections.on_stray = reported.append
                target.may_answer.clear()
                asked = [
                    asyncio.ensure_future(target.ask(curl))
                    for _ in range(count)
                ]
                await asyncio.sleep(SOON)
                target.may_answer.set()
                await asyncio.gather(*asked)
                for number in range(count):
                    target.write(RESPONSE, number)
                await asyncio.sleep(SOON)
                self.assertEqual(len(reported), count)
                self.assertEqual(len(curl.kept_connections), lingering)
                await asyncio.sleep(MAX_QUIET_SECONDS + 2 * SOON)
                self.assertEqual(len(curl.kept_connections), 0)
        await asyncio.sleep(SOON)
        self.assertEqual(len(os.listdir('/proc/self/fd')), descriptors)

    @parameterized.expand(
        [
            ('excess', False, RESPONSE + bytes(90_000)),
            ('excess_on_a_single_use', True, RESPONSE + bytes(90_000)),
        ]
    )
    async def test_open_connections_are_retired(
        self, _name: str, is_single: bool, response: bytes
    ) -> None:
        errors: list[dict[str, object]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, context: errors.append(context)
        )
        async with StrayTarget() as target:
            with CurlClient() as curl:
                kept = curl.kept_connections
                kept.on_stray = lambda stray: kept.retire(stray.address)
                target.may_answer.clear()
                asked = [
                    asyncio.ensure_future(target.ask(curl)) for _ in range(3)
                ]
                await asyncio.sleep(SOON)
                target.may_answer.set()
                await asyncio.gather(*asked[:2])
                target.response = response
                await target.ask(curl, uses_kept_connection=not is_single)
                await asyncio.sleep(SOON)
                target.response = RESPONSE
                await target.ask(curl)
                # Those that were idle are ended when they stay silent.
                await asyncio.sleep(MAX_QUIET_SECONDS + 2 * SOON)
                self.assertEqual(len(kept), 0)
                self.assertLessEqual({0, 1, 2}, set(target.endings))
        self.assertEqual(target.requests[-1], max(target.requests))
        self.assertEqual(errors, [])

    async def test_cancelled_transfer_closes_at_once(self) -> None:
        async with StrayTarget(_response(900_000)) as target:
            with CurlClient() as curl:
                sink = HoldingSink()
                transfer = target.transfer(curl, sink=sink)
                running = asyncio.ensure_future(transfer.run())
                await sink.has_begun.wait()
                transfer.cancel()
                self.assertEqual(len(curl.kept_connections), 0)
                await running
                self.assertFalse(await target.write_to_end(b''))


class Sink(ResponseSink):
    """Keeps the status and the body."""

    def __init__(self, *, is_foreign: bool = False) -> None:
        """Accept any response, or none if ``is_foreign``."""
        self._is_foreign = is_foreign
        self.body = b''

    @property
    def is_foreign(self) -> bool:
        """Tell whether all responses are rejected."""
        return self._is_foreign

    def on_head(self, head: ResponseHead) -> bool:
        """Accept the head or reject it."""
        return not self._is_foreign

    def on_chunk(self, chunk: bytes) -> bool:
        """Keep the chunk."""
        self.body += chunk
        return True


@final
class HoldingSink(Sink):
    """Accepts a head and no part of the body."""

    def __init__(self) -> None:
        """Wait for a body."""
        super().__init__()
        self.has_begun = asyncio.Event()

    def on_chunk(self, chunk: bytes) -> bool:
        """Refuse the chunk for now."""
        self.has_begun.set()
        return False


@final
class StrayTarget:
    """Answers each request, and writes more whenever a test asks for it."""

    def __init__(self, response: bytes = RESPONSE) -> None:
        """Prepare to answer with ``response``; listen within the context."""
        self.response = response
        self.address = ''
        self.writers: list[asyncio.StreamWriter] = []
        self.requests: list[int] = []
        """For each request, the number of its connection, from 0."""
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.endings: list[int] = []
        """Numbers of the connections on which no more requests come."""

    async def __aenter__(self) -> Self:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening."""
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    def write(self, octets: bytes, number: int = 0) -> None:
        """Write more bytes on a connection."""
        self.writers[number].write(octets)

    def reset(self, number: int = 0) -> None:
        """Reset a connection."""
        transport = self.writers[number].transport
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        transport.abort()

    def transfer(
        self,
        curl: CurlClient,
        name: str = '',
        sink: ResponseSink | None = None,
        *,
        uses_kept_connection: bool = True,
    ) -> Transfer:
        """Return a transfer to the target."""
        request = TransferRequest(
            f'http://{self.address}/',
            'GET',
            (),
            5,
            None,
            0,
            uses_kept_connection,
            name,
        )
        return Transfer(curl, request, sink or Sink(), lambda: True)

    async def ask(
        self,
        curl: CurlClient,
        name: str = '',
        sink: ResponseSink | None = None,
        *,
        uses_kept_connection: bool = True,
    ) -> Loss | None:
        """Send a request; return how it failed."""
        return await self.transfer(
            curl, name, sink, uses_kept_connection=uses_kept_connection
        ).run()

    async def write_to_end(self, octets: bytes) -> bool:
        """Write more on the first connection; tell whether all got through.

        They do not if the connection is reset meanwhile, or soon after that.
        """
        transport = self.writers[0].transport
        transport.write(octets)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WAIT):
                while transport.get_write_buffer_size():
                    await asyncio.sleep(SOON)
        await asyncio.sleep(SOON)
        if transport.is_closing() or transport.get_write_buffer_size():
            return False
        connection = transport.get_extra_info('socket')
        return not connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = len(self.writers)
        self.writers.append(writer)
        try:
            for _ in itertools.count():
                await reader.readuntil(b'\r\n\r\n')
                self.requests.append(number)
                await self.may_answer.wait()
                writer.write(self.response)
        except (OSError, asyncio.IncompleteReadError):
            # It goes on to write, as far as a test asks for it.
            self.endings.append(number)

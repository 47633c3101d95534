"""Targets that send bytes after their response, when nothing is asked."""

import asyncio
import contextlib
import itertools
import unittest
from collections.abc import Iterable
from types import TracebackType
from typing import Self, final

from parameterized import parameterized

from turmericmast.balance.framing import Stutter
from turmericmast.call.call import Loss
from turmericmast.web.curl import CurlClient
from turmericmast.web.keptconnections import StrayBytes
from turmericmast.web.transfer import (
    ResponseHead,
    ResponseSink,
    Transfer,
    TransferRequest,
)

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na'
SOON = 0.05
"""Seconds in which bytes arrive on loopback and are seen."""


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

    async def test_end_of_an_idle_connection_is_no_stray_byte(self) -> None:
        async with StrayTarget() as target:
            with CurlClient() as curl:
                strays: list[StrayBytes] = []
                curl.kept_connections.on_stray = strays.append
                await target.ask(curl)
                target.writers[0].close()
                await asyncio.sleep(SOON)
        self.assertEqual(strays, [])


class Sink(ResponseSink):
    """Keeps the status and the body."""

    def __init__(self, *, is_foreign: bool = False) -> None:
        """Accept any response, or none if ``is_foreign``."""
        self._is_foreign = is_foreign
        self.body = b''

    def on_head(self, head: ResponseHead) -> bool:
        """Accept the head or reject it."""
        return not self._is_foreign

    def on_chunk(self, chunk: bytes) -> bool:
        """Keep the chunk."""
        self.body += chunk
        return True


@final
class StrayTarget:
    """Answers each request, and writes more whenever a test asks for it."""

    def __init__(self, response: bytes = RESPONSE) -> None:
        """Prepare to answer with ``response``; listen within the context."""
        self._response = response
        self.address = ''
        self.writers: list[asyncio.StreamWriter] = []
        self.requests: list[int] = []
        """For each request, the number of its connection, from 0."""
        self.endings: dict[int, type[Exception]] = {}
        """How each connection ended, by its number."""

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

    async def ask(
        self,
        curl: CurlClient,
        name: str = '',
        sink: ResponseSink | None = None,
        *,
        uses_kept_connection: bool = True,
    ) -> Loss | None:
        """Send a request; return how it failed."""
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
        return await Transfer(curl, request, sink or Sink(), lambda: True).run()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = len(self.writers)
        self.writers.append(writer)
        with contextlib.closing(writer):
            try:
                for _ in itertools.count():
                    await reader.readuntil(b'\r\n\r\n')
                    self.requests.append(number)
                    writer.write(self._response)
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError) as error:
                self.endings[number] = type(error)

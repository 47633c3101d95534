"""Loopback proxy that injects connection faults between edges and a target."""

import asyncio
import enum
from types import TracebackType
from typing import Self, final

READ_BYTES = 65_536
"""Most bytes that are read and forwarded at once."""
SLOW_DELAY = 0.15
"""Seconds that each chunk is delayed by ``slow``; longer than most requests."""


@final
class ConnectionFault(enum.Enum):
    """How a proxy disturbs its connections."""

    none = 'none'
    slow = 'slow'
    reset = 'reset'
    """New connections are reset, and open ones when an answer arrives."""
    silent = 'silent'
    """Nothing is forwarded, and connections stay open."""
    one_way = 'one_way'
    """Requests are forwarded, answers are dropped."""


@final
class ChaosProxy:
    """Forwards TCP connections to a target, disturbed as ``fault`` says."""

    def __init__(self, address: str, target: str) -> None:
        """Forward from ``address`` to ``target`` while the context is open."""
        self.fault = ConnectionFault.none
        self._address = address
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Start listening."""
        host, _, port = self._address.rpartition(':')
        self._server = await asyncio.start_server(self._accept, host, int(port))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening and cancel all forwarding."""
        if self._server:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.fault is ConnectionFault.reset:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(':')
        try:
            target_streams = await asyncio.open_connection(host, int(port))
        except OSError:
            # The target is down: the edge gets a reset as well.
            writer.transport.abort()
            return
        for source, sink, is_answer in (
            (reader, target_streams[1], False),
            (target_streams[0], writer, True),
        ):
            task = asyncio.ensure_future(
                self._forward(source, sink, is_answer=is_answer),
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            while chunk := await source.read(READ_BYTES):
                if not await self._forward_chunk(
                    chunk, sink, is_answer=is_answer
                ):
                    return
        except OSError:
            # One side is gone: reset the connection to the other one.
            sink.transport.abort()
            return
        except asyncio.CancelledError:
            sink.transport.abort()
            raise
        sink.close()

    async def _forward_chunk(
        self,
        chunk: bytes,
        sink: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> bool:
        """Forward a chunk; return False if the connection was reset."""
        fault = self.fault
        if fault is ConnectionFault.reset and is_answer:
            sink.transport.abort()
            return False
        if fault is ConnectionFault.slow:
            await asyncio.sleep(SLOW_DELAY)
        is_lost = fault is ConnectionFault.silent or (
            fault is ConnectionFault.one_way and is_answer
        )
        if not is_lost:
            sink.write(chunk)
            await sink.drain()
        return True

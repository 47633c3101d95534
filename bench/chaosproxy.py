"""A loopback proxy between edges and one target that harms connections."""

import asyncio
import enum
from types import TracebackType
from typing import Self, final

READ_BYTES = 65_536
SLOW_SECONDS = 0.15
"""Delay of each piece in the slow mode; longer than most requests."""


@final
class Harm(enum.Enum):
    """What befalls connections."""

    none = 'none'
    slow = 'slow'
    reset = 'reset'
    """New connections and answers are reset."""
    silent = 'silent'
    """Nothing passes, and nothing is closed."""
    one_way = 'one_way'
    """Requests pass, answers do not."""


@final
class ChaosProxy:
    """Forwards from one address to another, as its ``harm`` says."""

    def __init__(self, address: str, target: str) -> None:
        """Listen on ``address`` once opened."""
        self.harm = Harm.none
        self._address = address
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Start to listen."""
        host, _, port = self._address.rpartition(':')
        self._server = await asyncio.start_server(self._accept, host, int(port))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close everything."""
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
        if self.harm is Harm.reset:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(':')
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            # The target is down: its callers see the same.
            writer.transport.abort()
            return
        for source, sink, is_answer in (
            (reader, there[1], False),
            (there[0], writer, True),
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
            while octets := await source.read(READ_BYTES):
                if not await self._pass(octets, sink, is_answer=is_answer):
                    return
        except OSError:
            # One side is gone; the other one is told by the abort.
            sink.transport.abort()
            return
        sink.close()

    async def _pass(
        self,
        octets: bytes,
        sink: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> bool:
        """Forward a piece; tell whether the connection goes on."""
        harm = self.harm
        if harm is Harm.reset and is_answer:
            sink.transport.abort()
            return False
        if harm is Harm.slow:
            await asyncio.sleep(SLOW_SECONDS)
        is_lost = harm is Harm.silent or (harm is Harm.one_way and is_answer)
        if not is_lost:
            sink.write(octets)
            await sink.drain()
        return True

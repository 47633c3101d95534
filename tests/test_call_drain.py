"""Calls that come while an entry stops, over real sockets."""

import asyncio
import unittest

from tests.entry_harness import EntryHarness
from turmericmast.programs.calldrain import CallDrain

CALL = b'POST /stock/ok HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nwhole'


class CallDrainTest(unittest.IsolatedAsyncioTestCase):
    """A call is answered whole, or refused before a target gets it.

    Guards against calls that are passed on while an entry stops, and cut off
    without an answer when it closes its connections.
    """

    async def test_body_arrives_during_the_drain(self) -> None:
        async with EntryHarness(targets=1) as harness:
            reader, writer = await _connect(harness)
            writer.write(CALL[:-2])
            await asyncio.sleep(0.1)
            drained = asyncio.ensure_future(_stop(harness))
            await asyncio.sleep(0.2)
            self.assertFalse(drained.done())
            # The next call follows at once on the same connection.
            writer.write(CALL[-2:] + CALL)
            answers = await asyncio.wait_for(reader.read(), 2)
            await asyncio.wait_for(drained, 2)
            writer.close()
        first, _, second = answers.partition(b'HTTP/1.1 503 ')
        self.assertIn(b'HTTP/1.1 201 ', first)
        self.assertIn(b'this entry is shutting down', second)
        self.assertIn(b'Connection: close', second)
        self.assertIn(b'Turmericmast-Ran: no', second)
        self.assertEqual(len(harness.targets[0].runs), 1)

    async def test_idle_connection_is_closed(self) -> None:
        async with EntryHarness(targets=1) as harness:
            reader, writer = await _connect(harness)
            writer.write(CALL)
            await reader.readuntil(b'HTTP/1.1 201 ')
            await asyncio.sleep(0.1)
            drained = asyncio.ensure_future(_stop(harness))
            await asyncio.wait_for(reader.read(), 2)
            await asyncio.wait_for(drained, 2)
            writer.close()
        self.assertEqual(len(harness.targets[0].runs), 1)


async def _connect(
    harness: EntryHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = harness.address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


async def _stop(harness: EntryHarness) -> None:
    """Do what a process does that stops, after its targets were released."""
    await CallDrain(harness.context, harness.frontend).run(harness.server)
    await harness.server.close_all_connections()

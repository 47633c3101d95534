"""Links that answer slowly, since downloads fill the link of the host.

Pattern: a host with 2 Mbit/s gets downloads whose windows of 64 KiB wait in its
queue, and all other packets wait behind them, for a second or more.
"""

import asyncio
import contextlib
import types
import unittest.mock
from typing import Any

from parameterized import parameterized
from tornado.testing import bind_unused_port

from tests.edge_samples import REGION_BY_DOMAIN, edge, feed, instance
from turmericmast.clock import HybridClock, SystemClock
from turmericmast.ids import Index, InstanceId
from turmericmast.metrics import Metrics
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs.clusterwatcher import (
    REQUEST_TIMEOUT,
    ClusterWatcher,
)
from turmericmast.wire import link as link_module
from turmericmast.wire import requests
from turmericmast.wire.link import Link, ProcessContext
from turmericmast.wire.linkpool import LinkPool
from turmericmast.wire.server import Handler, PeerServer
from turmericmast.wire.watchrequests import WatchedCluster

KNOWN_INDEX = 5
NEXT_INDEX = Index(KNOWN_INDEX + 1)
WATCH = requests.Watch(InstanceId('e'), Index(1))
TIMEOUT = 0.1
"""Seconds of the requests on a single link."""
LONG = 5.0

SLOW_ANSWERS = [
    # name, delay of answers, silence that is borne, late answers, connections
    ('late', 0.3, 2.0, 1, 1),
    ('silent_for_long', LONG, TIMEOUT, 0, 2),
    ('silent_for_a_moment', LONG, 2.0, 0, 1),
]

WATCHES = [
    # name, delay of all answers in seconds
    ('in_time', 0.0),
    ('late', 1.3 * REQUEST_TIMEOUT),
]


class _SlowMember(Handler):
    """Answers after a delay, the first time at once."""

    def __init__(self, answer: Any, delay: float, *, at_first: float) -> None:
        self._answer = answer
        self._delays = [at_first]
        self._later = delay

    async def handle(self, sender: str, body: Any) -> Any:
        """Return the answer."""
        await asyncio.sleep(self._delays.pop() if self._delays else self._later)
        return self._answer


class _CountingServer(PeerServer):
    """Counts the connections that it accepts."""

    def __init__(self, context: ProcessContext, handler: Handler) -> None:
        super().__init__(context, handler)
        self.connections = 0

    async def handle_stream(self, stream: Any, address: Any) -> None:
        """Serve one connection."""
        self.connections += 1
        await super().handle_stream(stream, address)


class _Network(contextlib.ExitStack):
    """Servers on the loopback interface."""

    def __init__(self) -> None:
        super().__init__()
        self.context = ProcessContext(
            'me', HybridClock(SystemClock()), Metrics()
        )

    def serve(self, handler: Handler) -> tuple[str, _CountingServer]:
        """Return the address of a new server, and the server."""
        sock, port = bind_unused_port()
        server = _CountingServer(self.context, handler)
        server.add_socket(sock)
        self.callback(server.close_all)
        self.callback(server.stop)
        return f'127.0.0.1:{port}', server


class SlowAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A connection that is slow is kept, and its late answers are used."""

    # Guards against a poll whose answer is under way when its connection is
    # closed: behind a full link none would ever arrive.
    @parameterized.expand(SLOW_ANSWERS)
    async def test_link(
        self,
        _name: str,
        delay: float,
        silence: float,
        late: int,
        connections: int,
    ) -> None:
        with (
            _Network() as network,
            unittest.mock.patch.object(link_module, 'SILENCE_TIMEOUT', silence),
        ):
            address, server = network.serve(
                _SlowMember(requests.Changed(), delay, at_first=0)
            )
            link = network.enter_context(Link(network.context, address))
            came_late: list[Any] = []
            link.on_late_answer = came_late.append
            await link.request(WATCH, 1)
            await asyncio.sleep(TIMEOUT)
            await link.request(WATCH, TIMEOUT)
            await asyncio.sleep(0.5)
            self.assertEqual(len(came_late), late)
            self.assertEqual(server.connections, connections)


class SlowFeedTest(unittest.IsolatedAsyncioTestCase):
    """An edge follows the cluster although all members answer late."""

    # Guards against a configuration that is in force late (CONFIG): an edge
    # behind a full link got no feed for 3.4 s, since each answer was late.
    @parameterized.expand(WATCHES)
    async def test_feed_is_applied(self, _name: str, delay: float) -> None:
        answer = WatchedCluster(
            feed(instance('a'), index=NEXT_INDEX), (), contact_ms=0
        )
        with _Network() as network:
            members = [
                network.serve(_SlowMember(answer, delay, at_first=delay))[0]
                for _ in range(3)
            ]
            process: Any = types.SimpleNamespace(
                clock=SystemClock(),
                events=unittest.mock.Mock(),
                settings=types.SimpleNamespace(
                    contacts=members,
                    is_first_start=False,
                    local_contact='',
                    domain='wien-a',
                    region='wien',
                    region_by_domain=REGION_BY_DOMAIN,
                    listening=types.SimpleNamespace(peers='10.0.0.9:8'),
                ),
            )
            watching_edge = edge(
                instance('a'), feed(instance('a'), index=KNOWN_INDEX)
            )
            links = network.enter_context(LinkPool(network.context))
            watcher = ClusterWatcher(
                process, watching_edge, DocumentFormat(), links
            )
            await watcher.find_member()
            await asyncio.sleep(0.5)
        self.assertEqual(watching_edge.index, NEXT_INDEX)


if __name__ == '__main__':
    unittest.main()

"""Concurrent attempts of one request, and the one response of its caller."""

import asyncio
import unittest.mock
from dataclasses import dataclass
from typing import Any, TypeAlias

from parameterized import parameterized
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders

from tests.edge_harness import EdgeHarness
from tests.edge_samples import target
from turmericmast.balance.hedge import Hedge
from turmericmast.balance.scoring import Distance
from turmericmast.call.call import Loss
from turmericmast.web.body import MAX_BUFFERED_BYTES
from turmericmast.web.edgeexchange import EdgeExchange
from turmericmast.web.malformed import MalformedResponseError
from turmericmast.web.transfer import Progress, ResponseHead

Step: TypeAlias = tuple[int, Any]
"""Number of an attempt, and what its target does.

A status is that of the head, bytes are a part of the body, a ``Loss`` or
``None`` is the end. ``TURN`` lets the exchange go on in between.
"""

TURN: Step = (0, 'turn')
TOO_LONG: Step = (0, 'too long')
"""The body of the request exceeds the limit."""
MORE_THAN_ANY_LIMIT = 2**40
LONG = b'a' * (MAX_BUFFERED_BYTES + 1)
"""More than is buffered, so that the response is streamed."""
FIRST_STREAMS = [(0, 200), (0, LONG), TURN]
FIRST_IS_BUFFERED = [(0, 200), (0, b'ab'), TURN]
FIRST_ENDS = [TURN, (0, b'c'), (0, None)]
SECOND_LACKS_IT = [(1, 404), (1, b'none'), (1, None)]
SECOND_LACKS_IT_AT_LENGTH = [(1, 404), (1, LONG), (1, b'none'), (1, None)]


@dataclass
class Received:
    """What the caller has got: statuses of all heads, body, and the end."""

    statuses: list[int]
    body: bytes
    is_closed: bool


EXCHANGES = [
    (
        'failure_within_a_stream',
        [*FIRST_STREAMS, *SECOND_LACKS_IT, *FIRST_ENDS],
        Received([200], LONG + b'c', False),
    ),
    (
        'long_failure_within_a_stream',
        [*FIRST_STREAMS, *SECOND_LACKS_IT_AT_LENGTH, *FIRST_ENDS],
        Received([200], LONG + b'c', False),
    ),
    (
        'failure_while_a_success_is_buffered',
        [*FIRST_IS_BUFFERED, *SECOND_LACKS_IT, *FIRST_ENDS],
        Received([200], b'abc', False),
    ),
    (
        'success_begins_right_after_a_failure',
        [*SECOND_LACKS_IT, *FIRST_IS_BUFFERED, *FIRST_ENDS],
        Received([200], b'abc', False),
    ),
    (
        'failure_alone',
        [*SECOND_LACKS_IT, TURN, (0, 200)],
        Received([404], b'none', False),
    ),
    (
        'failure_then_the_stream_breaks',
        [*FIRST_STREAMS, *SECOND_LACKS_IT, TURN, (0, Loss.cut_short)],
        Received([200], LONG, True),
    ),
    (
        'failure_then_the_buffered_success_breaks',
        [*FIRST_IS_BUFFERED, *SECOND_LACKS_IT, TURN, (0, Loss.cut_short)],
        Received([404], b'none', False),
    ),
    (
        'stream_breaks_then_failure',
        [*FIRST_STREAMS, (0, Loss.connection_lost), TURN, *SECOND_LACKS_IT],
        Received([200], LONG, True),
    ),
    (
        'buffered_success_breaks_then_success',
        [
            *FIRST_IS_BUFFERED,
            (0, Loss.cut_short),
            TURN,
            (1, 200),
            (1, b'xyz'),
            (1, None),
        ],
        Received([200], b'xyz', False),
    ),
    (
        'server_error_within_a_stream',
        [*FIRST_STREAMS, (1, 500), (1, b'x'), (1, None), *FIRST_ENDS],
        Received([200], LONG + b'c', False),
    ),
    (
        'slower_success_within_a_stream',
        [*FIRST_STREAMS, (1, 200), (1, Loss.cut_short), *FIRST_ENDS],
        Received([200], LONG + b'c', False),
    ),
    (
        'redirection_within_a_stream',
        [*FIRST_STREAMS, (1, 302), (1, None), *FIRST_ENDS],
        Received([200], LONG + b'c', False),
    ),
]


class SingleResponseTest(unittest.IsolatedAsyncioTestCase):
    """A caller gets one response, or a connection that closes within it."""

    # Guards against the failure of a second target that is written into the
    # success of the first one (review/2, MIXED).
    @parameterized.expand(EXCHANGES)
    async def test_concurrent_attempts(
        self, _name: str, steps: list[Step], wanted: Received
    ) -> None:
        harness = EdgeHarness(target('1'), target('2'))
        self.assertEqual(await self._play(harness, steps), wanted)

    # Guards against a target that seems to have crashed because this instance
    # has ended its response.
    async def test_slower_success_is_no_crash(self) -> None:
        harness = EdgeHarness(target('1'), target('2'))
        steps = [*FIRST_STREAMS, (1, 200), TURN, *FIRST_ENDS]
        await self._play(harness, steps)
        crash_detector: Any = harness.context.crash_detector
        self.assertFalse(crash_detector.check.called)

    # Guards against a success that is written after the refusal of the same
    # request, to a caller whose body became too long while it was answered.
    @parameterized.expand(
        [
            ('success', [(0, 200), (0, b'ab')], [(0, LONG), (0, None)]),
            ('rejection', [(0, 404), (0, b'ab')], [(0, LONG), (0, None)]),
            ('no_head', [], [(0, 200), (0, LONG), (0, None)]),
        ]
    )
    async def test_refused_body(
        self, _name: str, before: list[Step], after: list[Step]
    ) -> None:
        harness = EdgeHarness(target('1'), target('2'))
        steps = [*before, TURN, TOO_LONG, *after]
        received = await self._play(harness, steps)
        self.assertEqual(received.statuses, [413])

    # Guards against a success that is written after an internal error.
    async def test_internal_error(self) -> None:
        harness = EdgeHarness(target('1'))
        connection = unittest.mock.Mock(spec=HTTP1Connection)
        exchange = EdgeExchange(harness.context, connection, harness.read())
        transfers: list[_ScriptedTransfer] = []
        with (
            unittest.mock.patch(
                'turmericmast.web.edgeattempt.Transfer',
                lambda *arguments: _ScriptedTransfer(transfers, arguments[2]),
            ),
            unittest.mock.patch.object(
                exchange, '_hedge_if_useful', side_effect=[True, RuntimeError]
            ),
        ):
            exchange._body.mark_complete()
            served = asyncio.ensure_future(exchange._run())
            await asyncio.sleep(0.01)
            transfers[0].act(200)
            transfers[0].act(b'ab')
            with self.assertRaises(RuntimeError):
                await asyncio.wait_for(served, 1)
            transfers[0].act(LONG)
        self.assertEqual(_received(connection).statuses, [500])

    async def _play(self, harness: EdgeHarness, steps: list[Step]) -> Received:
        connection = unittest.mock.Mock(spec=HTTP1Connection)
        exchange = EdgeExchange(harness.context, connection, harness.read())
        transfers: list[_ScriptedTransfer] = []

        def start_second(_first: object) -> bool:
            exchange._start_attempt(_candidate(harness, '2'))
            return False

        with (
            unittest.mock.patch(
                'turmericmast.web.edgeattempt.Transfer',
                lambda *arguments: _ScriptedTransfer(transfers, arguments[2]),
            ),
            unittest.mock.patch.object(Hedge, 'first_check_delay', _no_delay),
            unittest.mock.patch.object(
                exchange, '_hedge_if_useful', start_second
            ),
        ):
            exchange._body.mark_complete()
            trial = asyncio.ensure_future(
                exchange._try_target(_candidate(harness, '1'))
            )
            await asyncio.sleep(0.01)
            for number, action in steps:
                if action == 'turn':
                    await asyncio.sleep(0.001)
                elif action == 'too long':
                    exchange._body.size = MORE_THAN_ANY_LIMIT
                    await exchange.data_received(b'x')
                else:
                    transfers[number].act(action)
            await asyncio.wait_for(trial, 1)
        return _received(connection)


class _ScriptedTransfer:
    """A transfer whose response the test writes."""

    def __init__(self, transfers: list[Any], sink: Any) -> None:
        transfers.append(self)
        self.progress = Progress.head
        self.malformed: MalformedResponseError | None = None
        self._sink = sink
        self._end: asyncio.Future[Loss | None] = asyncio.Future()

    async def run(self) -> Loss | None:
        """Wait for the end of the response."""
        return await self._end

    def cancel(self) -> None:
        """End the transfer, as ``Transfer.cancel`` does."""
        self._settle(Loss.timed_out)

    def act(self, action: Any) -> None:
        """Receive a status, a part of the body or the end."""
        if self._end.done():
            return
        if isinstance(action, int):
            headers = {'X-Request-Id': 'r', 'X-Response-Signature': 's'}
            head = ResponseHead(action, '', HTTPHeaders(headers))
            if not self._sink.on_head(head):
                self._settle(Loss.cut_short)
        elif isinstance(action, bytes):
            self._sink.on_chunk(action)
        else:
            self._settle(action)

    def _settle(self, loss: Loss | None) -> None:
        if not self._end.done():
            self._end.set_result(loss)


def _candidate(harness: EdgeHarness, name: str) -> Any:
    return unittest.mock.Mock(
        view=harness.view(name),
        distance=Distance.domain,
        is_last_resort=False,
    )


def _no_delay(*_arguments: object) -> float:
    return 0


def _received(connection: Any) -> Received:
    heads = connection.write_headers.call_args_list
    chunks = connection.write.call_args_list
    bodies = [call.args[2] for call in heads]
    return Received(
        [call.args[0].code for call in heads],
        b''.join([*bodies, *(call.args[0] for call in chunks)]),
        connection.close.called,
    )

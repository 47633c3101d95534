"""Targets that write a response once more on a connection that is shared.

Pattern: requests and health checks use the same kept connections. A copy of
the response to one comes late, where that to the other is expected.
"""

import contextlib
import unittest
from collections.abc import AsyncIterator

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from tests.running_edge import RunningEdge, target_at, without_probes
from tests.scripted_target import Kind, Reply, ScriptedTarget
from turmericmast.balance.load import LoadReport
from turmericmast.balance.targetview import Eligibility, TargetView
from turmericmast.ids import Seconds

PATH_BY_METHOD = {
    'GET': ('shop.example', '/stock/1', 'stock'),
    'POST': ('pay.example', '/orders/1', 'orders'),
}
"""Host, path and service of a request."""
OWN_HEADERS = [
    ('usual', ''),
    ('signed', 'X-Response-Signature: s\r\n'),
    ('rejected', 'X-Not-Executed: 1\r\n'),
]
"""Further headers of a response to a health check."""
HEALTH_WITH_ID = [
    ('empty_id', 'X-Request-Id: \r\n'),
    ('id_of_the_next_request', 'X-Request-Id: r-1\r\n'),
    ('signed', 'X-Request-Id: r-1\r\nX-Response-Signature: s\r\n'),
]
LATE_HEALTH = [
    (f'{name}_{method}', method, headers)
    for name, headers in OWN_HEADERS
    for method in PATH_BY_METHOD
]
LATE_RESPONSES = [
    ('success', Reply.answer),
    ('failed', Reply.fail),
    # After these, the target gets no request for a while.
    ('rejected', Reply.reject),
    ('misdirected', Reply.misdirect),
]


class SharedConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A response counts only for the request or the check that it answers."""

    # Guards against a caller that gets the response to a health check, or is
    # told by it that its request did not run.
    @parameterized.expand(LATE_HEALTH)
    async def test_late_response_to_a_health_check(
        self, _name: str, method: str, headers: str
    ) -> None:
        async with _edge(
            method,
            ScriptedTarget(
                '1', repeated={Kind.health_check}, health_headers=headers
            ),
        ) as (own, view, target):
            await own.context.prober.start(view, '/health')
            _verify(own, view)
            status, body = await _request(own, method)
        self.assertEqual((status, body[:1]), (502, b'{'))
        self.assertEqual(own.count('responses_rejected'), 1)
        self.assertEqual(target.request_ids, ['r-1'])

    # Guards against a health check that is believed although it bears the id
    # of a request: it ends with its connection, and so does its copy.
    @parameterized.expand(HEALTH_WITH_ID)
    async def test_health_check_with_a_request_id(
        self, _name: str, headers: str
    ) -> None:
        async with _edge(
            'GET',
            ScriptedTarget(
                '1', repeated={Kind.health_check}, health_headers=headers
            ),
        ) as (own, view, target):
            is_confirmed = await own.context.prober.start(view, '/health')
            self.assertFalse(is_confirmed)
            status, _ = await _request(own, 'GET')
        self.assertEqual(status, 503)
        self.assertEqual(target.request_ids, [])

    # Guards against a target that counts as healthy, or as another one, by a
    # response to an earlier request.
    @parameterized.expand(LATE_RESPONSES)
    async def test_late_response_to_a_request(
        self, _name: str, reply: Reply
    ) -> None:
        async with _edge(
            'GET', ScriptedTarget('1', reply, repeated={Kind.request})
        ) as (own, view, target):
            _verify(own, view)
            await _request(own, 'GET')
            is_confirmed = await own.context.prober.start(view, '/health')
            self.assertFalse(is_confirmed)
            eligibility = view.eligibility(own.clock.now())
            self.assertIs(eligibility, Eligibility.ejected)
        self.assertEqual(target.request_ids, ['r-1'])

    # Guards against a caller that gets the response to another request.
    @parameterized.expand(LATE_RESPONSES[:2])
    async def test_late_response_to_another_request(
        self, _name: str, reply: Reply
    ) -> None:
        async with _edge(
            'GET',
            ScriptedTarget('1', reply, Reply.answer, repeated={Kind.request}),
        ) as (own, view, target):
            _verify(own, view)
            await _request(own, 'GET', 'r-0')
            _verify(own, view)
            status, body = await _request(own, 'GET')
            self.assertEqual((status, body[:1]), (502, b'{'))
            self.assertEqual(own.count('responses_rejected'), 1)
        self.assertEqual(target.request_ids, ['r-0', 'r-1'])
        self.assertEqual(len(set(target.connections)), 1)


@contextlib.asynccontextmanager
async def _edge(
    method: str, target: ScriptedTarget
) -> AsyncIterator[tuple[RunningEdge, TargetView, ScriptedTarget]]:
    """Run an edge with one target that serves requests with a method."""
    service = PATH_BY_METHOD[method][-1]
    async with target:
        with RunningEdge('own') as own:
            await own.open(targets=[target_at('1', target.address, service)])
            view = next(iter(own.edge.views()))
            yield own, view, target


def _verify(own: RunningEdge, view: TargetView) -> None:
    """Let the target count as up and idle, so that no request probes it."""
    view.verify(Seconds(0), own.clock.now())
    view.update_load(LoadReport(0, 0, 4), own.clock.now())


async def _request(
    own: RunningEdge, method: str, request_id: str = 'r-1'
) -> tuple[int, bytes]:
    host, path, _ = PATH_BY_METHOD[method]
    request = HTTPRequest(
        f'http://{own.address}{path}',
        method=method,
        body=b'x' if method == 'POST' else None,
        headers={
            'Host': host,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '800',
        },
        request_timeout=2,
    )
    with without_probes():
        answer = await AsyncHTTPClient().fetch(request, raise_error=False)
    return answer.code, answer.body

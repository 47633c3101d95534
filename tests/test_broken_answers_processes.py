"""Broken answers of targets at core and edge processes."""

import unittest

from bench.machines import LocalCluster, RawAnswer, Upstream
from tests.broken_answers import OWN_ID, SOUND
from tests.test_broken_answers import ENDS, SPOILT
from tests.test_machines import run_cluster

ZONE = 'wien-a'
ROUTES = {
    'GET': ('shop.example', '/stock/raw'),
    'POST': ('pay.example', '/orders/raw'),
}
"""Host and path of a safe and of an unsafe request."""
ODD = ('length', 'list_of_equal_lengths', 'chunk_extension_quoted', 'interim')
"""Sound answers, one for each way in which a body ends."""


class BrokenAnswerProcessTest(unittest.IsolatedAsyncioTestCase):
    """A caller of a running instance gets no part of a broken answer."""

    # Guards against broken answers that reach callers, and against a target
    # that gets no further requests once it answers well.
    async def test_broken_answers(self) -> None:
        async with run_cluster() as (cluster, upstreams):
            for name, broken in SPOILT.items():
                for end, method in zip(ENDS, ROUTES, strict=True):
                    await self._check(
                        cluster,
                        upstreams,
                        f'{name}_{end}',
                        RawAnswer(_named(broken.octets), ENDS[end]),
                        method,
                    )
            await self._check_lines(cluster)

    # Guards against sound answers that are refused by running instances.
    async def test_sound_answers(self) -> None:
        async with run_cluster() as (cluster, upstreams):
            for name in ODD:
                _set_answer(
                    upstreams, RawAnswer(_named(SOUND[name].octets), True)
                )
                received = await cluster.request_as_caller(
                    ZONE, '/stock/raw', name
                )
                self.assertEqual(
                    (received.code, received.body), (200, SOUND[name].body)
                )

    async def _check(
        self,
        cluster: LocalCluster,
        upstreams: dict[str, Upstream],
        name: str,
        answer: RawAnswer,
        method: str,
    ) -> None:
        _set_answer(upstreams, answer)
        host, path = ROUTES[method]
        headers = {'Host': host, 'X-Request-Id': name, 'X-Deadline-Ms': '900'}
        received = await cluster.send_request(
            ZONE, cluster.ports[0], path, method, headers=headers
        )
        self.assertEqual(received.code, 502, name)
        self.assertNotIn('X-Response-Signature', received.headers)
        await _report(cluster, upstreams)
        await cluster.wait_until(lambda: _is_served(cluster))

    async def _check_lines(self, cluster: LocalCluster) -> None:
        reasons = {
            line['reason']
            for line in cluster.event_lines('edge', ZONE)
            if line['event'] == 'response_rejected'
        }
        self.assertEqual(reasons, {broken.reason for broken in SPOILT.values()})


def _named(octets: bytes) -> bytes:
    return octets.replace(OWN_ID, b'X-Request-Id: ID')


def _set_answer(upstreams: dict[str, Upstream], answer: RawAnswer) -> None:
    for upstream in upstreams.values():
        upstream.raw_answer = answer


async def _report(
    cluster: LocalCluster, upstreams: dict[str, Upstream]
) -> None:
    """Let all targets report, as they do every few seconds."""
    for upstream in upstreams.values():
        await cluster.request_core(
            'tirol-a',
            'PUT',
            f'/-/instances/{upstream.name}',
            upstream.next_report(),
        )


async def _is_served(cluster: LocalCluster) -> bool:
    """Tell whether the target of the zone answers both kinds of requests."""
    answers = [
        await cluster.request_as_caller(ZONE, '/stock/good', 'good'),
        await cluster.request_as_caller(
            ZONE, '/orders/good', 'good', 'pay.example'
        ),
    ]
    return all(
        answer.code == 200 and ZONE.encode() in answer.body
        for answer in answers
    )

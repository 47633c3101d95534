"""Instances that lose their links to all targets, but not to anyone else.

Pattern: for some seconds the targets of a few instances, or of a whole failure
domain, do not answer them, while callers, the core and other instances do.
"""

import asyncio
import contextlib
import dataclasses
import time
import unittest.mock
from collections.abc import AsyncIterator

from parameterized import parameterized
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from bench.layout import free_address
from bench.machines import Upstream
from tests.edge_samples import (
    NOW,
    REGION_BY_DOMAIN,
    edge,
    feed,
    instance,
    requirements,
    target,
)
from tests.running_edge import (
    HangingAddress,
    ResettingAddress,
    RunningEdge,
    target_at,
)
from turmericmast.balance.load import LoadReport
from turmericmast.balance.targetview import TargetView
from turmericmast.call.call import Call, CallRequest, Loss
from turmericmast.edge import gossip
from turmericmast.edge.reach import HOLD_TIME, ReachReport, is_cut_off
from turmericmast.ids import CallId, Seconds, ServiceId
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.edgeresponse import EdgeResponse
from turmericmast.web.peerheaders import (
    Forwarding,
    PeerHeaders,
    read_forwarding,
)
from turmericmast.web.probing import Prober
from turmericmast.web.targetselection import TargetSelector
from turmericmast.web.transfer import ResponseHead

DEAD = '127.0.0.1:9'
"""An address at which nothing listens."""
LEARNING_TIME = 1.5
"""Seconds in which an instance notices that its targets are out of reach."""
CALLER_TIMEOUT_MS = 800
"""Milliseconds that a caller waits for its response."""


def _lose(view: TargetView) -> TargetView:
    view.begin_request()
    view.end_request(Loss.never_sent, NOW)
    return view


class ReachReportTest(unittest.TestCase):
    """Changes of reach are reported, but not each flicker of it."""

    def test_report_follows_at_most_once_in_the_hold_time(self) -> None:
        report = ReachReport()
        changes = [
            report.update(NOW + after, cut_off=cut_off)
            for after, cut_off in (
                (0, False),
                (1, True),
                (1 + HOLD_TIME / 2, False),
                (1 + HOLD_TIME, False),
            )
        ]
        self.assertEqual(changes, [False, True, False, True])


OWN = instance('own')
NEAR = (instance('near-1'), instance('near-2'))
REMOTE = (instance('remote', 'wien-a'),)


class PeerHeadersTest(unittest.TestCase):
    """Errors of another instance are told from responses of targets."""

    @parameterized.expand(
        [
            ('own_refusal', 503, {'Refusal': 'c', 'Ran': 'no'}, Loss.shed),
            ('no_route_yet', 404, {'Refusal': 'c', 'Ran': 'no'}, Loss.shed),
            ('may_have_run', 502, {'Refusal': 'c', 'Ran': 'unknown'}, 'failed'),
            ('of_another_request', 503, {'Refusal': 'd', 'Ran': 'no'}, 'cut'),
            ('of_an_instance_unmarked', 503, {'Ran': 'no'}, 'cut'),
            ('target_failed', 503, {'Ran': 'no', 'id': 'r'}, 'failed'),
            ('target_answered', 200, {'id': 'r', 'signature': 's'}, None),
        ]
    )
    def test_response(
        self, _name: str, status: int, given: dict[str, str], expected: object
    ) -> None:
        names = {'id': 'X-Request-Id', 'signature': 'X-Response-Signature'}
        headers = HTTPHeaders(
            {
                names.get(name, f'Turmericmast-{name}'): text
                for name, text in given.items()
            }
        )
        peer_headers = PeerHeaders(
            PlatformHeaders(),
            'r',
            Forwarding(CallId('c'), 1, ServiceId('stock')),
        )
        response = EdgeResponse(
            peer_headers, 'r', unittest.mock.Mock(), lambda _: True
        )
        response.on_head(ResponseHead(status, '', headers))
        loss_by_name = {'failed': Loss.failed, 'cut': Loss.cut_short}
        self.assertIs(
            response.final_loss(None),
            loss_by_name.get(str(expected), expected),
        )

    @parameterized.expand(
        [
            ('given', {'Turmericmast-Attempts': '2'}, 2),
            ('missing', {}, 1),
            ('none_left', {'Turmericmast-Attempts': '0'}, 1),
            ('no_number', {'Turmericmast-Attempts': 'many'}, 1),
            ('endless', {'Turmericmast-Attempts': '9' * 5000}, 1),
        ]
    )
    def test_attempts(
        self, _name: str, headers: dict[str, str], expected: int
    ) -> None:
        forwarding = read_forwarding(HTTPHeaders(headers))
        self.assertEqual(forwarding.attempts_left, expected)

    @parameterized.expand(
        [
            ('nothing_sent', (), 2),
            ('rejected', (Loss.never_sent, Loss.shed), 2),
            ('may_have_run', (Loss.connection_lost,), 1),
            ('used_up', (Loss.connection_lost, Loss.timed_out), 1),
        ]
    )
    def test_attempts_left(
        self, _name: str, losses: tuple[Loss, ...], expected: int
    ) -> None:
        call = Call(
            CallRequest(
                'c', 'stock', 'GET', '/', '', '', NOW + 1, max_attempts=2
            )
        )
        for loss in losses:
            call.record_failure(loss)
        self.assertEqual(call.attempts_left, expected)


class CrashEvidenceTest(unittest.IsolatedAsyncioTestCase):
    """Targets that are out of reach do not count as crashed by a request.

    Guards against refusals of requests that crashed nothing, since a cut had
    just begun and most paths were not known to be lost yet.
    """

    @parameterized.expand(
        [
            ('others_answer', 1, True, True),
            ('others_do_not_answer', 1, False, False),
            ('most_are_lost', 3, True, False),
        ]
    )
    async def test_report(
        self, _name: str, lost: int, is_answered: bool, expected: bool
    ) -> None:
        with contextlib.ExitStack() as stack:
            running = stack.enter_context(RunningEdge('own'))
            addresses = {name: free_address() for name in '12345'}
            for name in '1234' if is_answered else '':
                stack.enter_context(Upstream(name, 'tirol-a', addresses[name]))
            await running.open(
                targets=[
                    target_at(name, address)
                    for name, address in addresses.items()
                ]
            )
            views = list(running.edge.views())
            for view in views[:lost]:
                _lose(view)
            await running.context.crash_detector.check(views[-1], 'f')
            self.assertIs(running.report_crash.called, expected)


class ForwardingTest(unittest.IsolatedAsyncioTestCase):
    """Callers of an instance that lost its targets are served through others.

    Guards against RECOVER: such an instance refused all its callers.
    """

    @parameterized.expand([('refused',), ('hanging',), ('reset',)])
    async def test_callers_of_a_cut_off_instance_are_served(
        self, how: str
    ) -> None:
        async with _cluster(how) as (cut_off, healthy, upstream):
            await _learn(cut_off)
            ran_before = len(upstream.paths)
            answers = [
                await _request(cut_off.address, number) for number in range(20)
            ]
            self.assertEqual([answer.code for answer in answers], [200] * 20)
            self.assertEqual(len(upstream.paths) - ran_before, 20)
            self.assertGreaterEqual(cut_off.count('forwarded'), 20)
            self.assertEqual(healthy.count('forwarded'), 0)

    async def test_first_request_after_a_start_during_the_cut(self) -> None:
        async with _cluster('refused') as (cut_off, _, _upstream):
            answer = await _request(cut_off.address, 0)
            self.assertEqual(answer.code, 200)

    @parameterized.expand(
        [
            ('no_path_lost', 0, False),
            ('one_of_four_lost', 1, True),
            ('most_lost', 3, True),
        ]
    )
    async def test_without_an_eligible_target(
        self, _name: str, lost: int, expected: bool
    ) -> None:
        with RunningEdge('own') as running:
            names = '1234'
            await running.open(
                targets=[target_at(name, DEAD) for name in names]
            )
            views = list(running.edge.views())
            for view in views[:lost]:
                _lose(view)
            selector = TargetSelector(
                running.context,
                running.edge.pool_by_service[ServiceId('stock')],
            )
            with unittest.mock.patch.object(Prober, 'probe'):
                candidate = await selector.select(requirements())
            call = Call(CallRequest('c', 'stock', 'GET', '/', '', '', NOW + 1))
            self.assertIs(selector.is_doubtful(candidate, call), expected)

    @parameterized.expand([('by_others_only', False), ('by_this_one', True)])
    async def test_target_confirmed_while_cut_off(
        self, _name: str, is_own_answer: bool
    ) -> None:
        with RunningEdge('own') as running:
            names = [str(number) for number in range(50)]
            await running.open(
                targets=[target_at(name, DEAD) for name in names]
            )
            now = running.clock.now()
            *others, chosen = running.edge.views()
            for view in others[:3]:
                view.lose_path(now)
            chosen.verify(Seconds(0), now)
            chosen.update_load(LoadReport(0, 0, 4), now)
            if is_own_answer:
                chosen.confirm_path(now)
            running.edge.update_reach(now)
            selector = TargetSelector(
                running.context,
                running.edge.pool_by_service[ServiceId('stock')],
            )
            with unittest.mock.patch.object(Prober, 'start'):
                candidate = await selector.select(
                    dataclasses.replace(
                        requirements(), goal_at=now + 1, deadline=now + 1
                    )
                )
            self.assertIs(candidate and candidate.view, chosen)
            call = Call(CallRequest('c', 'stock', 'GET', '/', '', '', NOW + 1))
            is_doubtful = selector.is_doubtful(candidate, call)
            self.assertIs(is_doubtful, not is_own_answer)

    async def test_all_instances_are_cut_off(self) -> None:
        dead = [target_at(name, free_address()) for name in '123']
        with RunningEdge('own') as own, RunningEdge('other') as other:
            await own.open(other, targets=dead)
            await other.open(own, targets=dead)
            await _learn(own)
            await _learn(other)
            began_at = time.monotonic()
            answer = await _request(own.address, 0)
            self.assertEqual(answer.code, 503)
            self.assertEqual(answer.headers['Turmericmast-Ran'], 'no')
            self.assertNotIn('Turmericmast-Refusal', answer.headers)
            self.assertLess(time.monotonic() - began_at, 0.2)

    async def test_end_of_the_cut_is_found(self) -> None:
        address = free_address()
        async with _cluster('refused', address) as (cut_off, _, _upstream):
            await _learn(cut_off)
            with Upstream('1', 'tirol-a', address):
                deadline = time.monotonic() + 5
                while _is_cut_off(cut_off):
                    self.assertLess(time.monotonic(), deadline)
                    await _request(cut_off.address, 0)
                forwarded = cut_off.count('forwarded')
                answer = await _request(cut_off.address, 1)
                self.assertEqual(answer.code, 200)
                self.assertEqual(cut_off.count('forwarded'), forwarded)


class AttemptsTest(unittest.IsolatedAsyncioTestCase):
    """A forwarded request runs at no more targets than its route permits.

    Guards against BUDGET: the instances that a request was forwarded to used
    up its attempts, and the forwarding one began anew at the next.
    """

    @parameterized.expand([('fail', 500), ('reset', 502)])
    async def test_targets_that_fail(self, how: str, expected: int) -> None:
        names = '1234'
        with contextlib.ExitStack() as stack:
            cut_off = stack.enter_context(RunningEdge('cut-off'))
            healthy = [
                stack.enter_context(RunningEdge(name, 'tirol-b'))
                for name in ('healthy-1', 'healthy-2')
            ]
            upstreams = [
                stack.enter_context(Upstream(name, 'tirol-a', free_address()))
                for name in names
            ]
            working = [target_at(each.name, each.address) for each in upstreams]
            dead = [target_at(name, free_address()) for name in names]
            await cut_off.open(*healthy, targets=dead)
            for running in healthy:
                await running.open(cut_off, targets=working)
            await _learn(cut_off)
            for upstream in upstreams:
                upstream.paths.clear()
            answer = await _request(cut_off.address, f'{how}-1')
            self.assertEqual(answer.code, expected)
            ran = sum(len(upstream.paths) for upstream in upstreams)
            self.assertEqual(ran, 2)


class RetryBudgetTest(unittest.IsolatedAsyncioTestCase):
    """A forwarded request is repeated only as far as the retry budget goes.

    Guards against BUDGET: where targets were full, each instance that was
    asked sent the request to one of them, without taking from the budget.
    """

    async def test_full_targets(self) -> None:
        with contextlib.ExitStack() as stack:
            cut_off = stack.enter_context(RunningEdge('cut-off'))
            healthy = [
                stack.enter_context(RunningEdge(f'healthy-{name}', 'tirol-b'))
                for name in '123'
            ]
            upstream = stack.enter_context(
                Upstream('1', 'tirol-a', free_address())
            )
            dead = target_at('1', free_address())
            await cut_off.open(*healthy, targets=[dead])
            for running in healthy:
                working = target_at('1', upstream.address)
                await running.open(cut_off, targets=[working])
            await _learn(cut_off)
            for running in (cut_off, *healthy):
                _spend_budget(running)
            answer = await _request(cut_off.address, 'reject')
            self.assertEqual(answer.code, 503)
            self.assertEqual(answer.headers['Turmericmast-Ran'], 'no')
            self.assertEqual(upstream.rejected, ['/stock/reject'])


class LinksAreBackTest(unittest.IsolatedAsyncioTestCase):
    """An instance finds the end of a cut although nobody sends it requests.

    Guards against instances that went without callers for good: the directory
    did not name them any more, and only requests made them probe far targets.
    """

    @parameterized.expand([('tirol-a',), ('tirol-b',), ('wien-a',)])
    async def test_reach_without_callers(self, domain: str) -> None:
        addresses = {name: free_address() for name in '123'}
        targets = [
            dataclasses.replace(target_at(name, address), domain=domain)
            for name, address in addresses.items()
        ]
        with contextlib.ExitStack() as stack:
            running, *others = (
                stack.enter_context(RunningEdge(f'in-{place}', place))
                for place in REGION_BY_DOMAIN
            )
            await running.open(*others, targets=targets)
            for view in running.edge.views():
                _lose(view)
            running.edge.update_reach(NOW)
            for name, address in addresses.items():
                stack.enter_context(Upstream(name, domain, address))
            deadline = time.monotonic() + 5
            while _is_cut_off(running):
                self.assertLess(time.monotonic(), deadline)
                await asyncio.sleep(0.05)

    def test_target_that_others_verify_is_probed(self) -> None:
        sample = edge(OWN, feed(OWN, *NEAR, targets=(target('1'),)))
        view = next(iter(sample.views()))
        _lose(view)
        sample.update_reach(NOW)
        later = NOW + 5
        view.verify(0, later)
        self.assertEqual(gossip.LoadGossip(sample).probes_due(later), [view])

    def test_few_probes_at_a_time(self) -> None:
        targets = [target(str(number), 'wien-a') for number in range(50)]
        sample = edge(OWN, feed(OWN, *REMOTE, targets=targets))
        for view in sample.views():
            _lose(view)
        sample.update_reach(NOW)
        probing = gossip.LoadGossip(sample)
        later = NOW + 5
        probed = set()
        while due := probing.probes_due(later):
            self.assertLessEqual(len(due), gossip.MAX_PATH_PROBES)
            for view in due:
                view.probed_at = later
                probed.add(view.record.target)
        self.assertEqual(len(probed), len(targets))


def _spend_budget(running: RunningEdge) -> None:
    now = running.clock.now()
    for pool in running.edge.pool_by_service.values():
        usable = int(pool.retry_budget.usable(now))
        for _ in range(usable):
            pool.retry_budget.try_withdraw(now)


@contextlib.asynccontextmanager
async def _dead_address(how: str, address: str) -> AsyncIterator[str]:
    if how == 'hanging':
        with HangingAddress() as hanging:
            yield hanging
    elif how == 'reset':
        async with ResettingAddress() as resetting:
            yield resetting
    else:
        yield address or free_address()


@contextlib.asynccontextmanager
async def _cluster(
    how: str, address: str = ''
) -> AsyncIterator[tuple[RunningEdge, RunningEdge, Upstream]]:
    """Run an instance that reaches no target, one that does, and the target."""
    working_address = free_address()
    working = target_at('1', working_address)
    async with _dead_address(how, address) as dead_address:
        with (
            RunningEdge('cut-off') as cut_off,
            RunningEdge('healthy', 'tirol-b') as healthy,
            Upstream('1', 'tirol-a', working.address) as upstream,
        ):
            dead = target_at('1', dead_address)
            await cut_off.open(healthy, targets=[dead])
            await healthy.open(cut_off, targets=[working])
            yield cut_off, healthy, upstream


def _is_cut_off(running: RunningEdge) -> bool:
    return is_cut_off(running.edge.views(), running.clock.now())


async def _learn(running: RunningEdge) -> None:
    """Send requests until an instance knows that its targets are lost."""
    deadline = time.monotonic() + LEARNING_TIME
    while not _is_cut_off(running):
        if time.monotonic() > deadline:
            raise TimeoutError('the targets still count as reachable')
        await _request(running.address, 0)
        await asyncio.sleep(0.01)


async def _request(address: str, number: object) -> HTTPResponse:
    return await AsyncHTTPClient().fetch(
        HTTPRequest(
            f'http://{address}/stock/{number}',
            headers={
                'Host': 'shop.example',
                'X-Request-Id': f'r-{number}',
                'X-Deadline-Ms': str(CALLER_TIMEOUT_MS),
            },
            request_timeout=2,
        ),
        raise_error=False,
    )

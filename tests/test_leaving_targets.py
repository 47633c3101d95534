"""Targets that say in their answers that they are leaving.

Pattern: a target is stopped while the core still lists it as running, and
requests go on to it until it is gone.
"""

import asyncio
import dataclasses
import unittest.mock
from collections.abc import Callable

from parameterized import parameterized
from tornado.httputil import HTTPHeaders

from tests.edge_harness import EdgeHarness, unsplit_document
from tests.edge_samples import NOW, feed, requirements, target
from tests.test_gossip import SIZES, Domain
from turmericmast.balance.departure import (
    LAST_RESORT_MARGIN,
    Departure,
    DepartureStage,
)
from turmericmast.balance.news import TargetDeparture
from turmericmast.edge.reach import is_cut_off
from turmericmast.ids import CallId, Seconds, ServiceId
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.web.peerheaders import Forwarding
from turmericmast.web.targetselection import TargetSelector
from turmericmast.wire import codec
from turmericmast.wire.generated import ttypes

DRAIN = 2.0
AT_ONCE = 1.0
"""Seconds in which several calls end, each of which could wait for 0.3 s."""
BORN = 1_700_000_000_000
DEPARTURE = ttypes.TargetDeparture('t', BORN, 700)
LEAVING = {'Server-Leaving': '1'}
ENDS = DRAIN - LAST_RESORT_MARGIN

HEADERS = [
    ('set', [('Server-Leaving', '1')], True),
    ('twice', [('Server-Leaving', '1'), ('Server-Leaving', '1')], True),
    ('absent', [], False),
    ('cleared', [('Server-Leaving', '0')], False),
    ('empty', [('Server-Leaving', '')], False),
    ('words', [('Server-Leaving', 'yes, soon')], False),
    ('long', [('Server-Leaving', '1' * 5000)], False),
]

ANSWERS = [
    ('success', 200, LEAVING, True),
    ('client_error', 404, LEAVING, True),
    ('failure', 500, LEAVING, True),
    ('full', 503, {**LEAVING, 'X-Not-Executed': '1'}, True),
    ('another_request', 200, {**LEAVING, 'X-Request-Id': 'q'}, False),
    ('misdirected', 421, LEAVING, False),
    ('encoded', 200, {**LEAVING, 'Content-Encoding': 'gzip'}, False),
    ('without_header', 200, {}, False),
]
"""Status and headers of an answer, and whether the target leaves by it."""


def _reload(harness: EdgeHarness) -> None:
    harness.edge.apply(
        feed(targets=(target('1'), target('2')), index=2), unsplit_document()
    )


def _list_again(harness: EdgeHarness) -> None:
    later = dataclasses.replace(target('1'), sequence=9)
    harness.edge.apply(feed(targets=(later, target('2')), index=2), None)


def _answer_without_header(harness: EdgeHarness) -> None:
    harness.set_behaviour('1')
    harness.context.statements.apply_response(
        harness.view('1'),
        200,
        PlatformHeaders().read_response(200, HTTPHeaders()).statement,
    )


def _restart(harness: EdgeHarness) -> None:
    harness.edge.apply(
        feed(
            targets=(
                dataclasses.replace(target('1'), born=11),
                target('2'),
            ),
            index=2,
        ),
        None,
    )


def _remove_and_list(harness: EdgeHarness) -> None:
    harness.edge.apply(feed(targets=(target('2'),), index=2), None)
    harness.edge.apply(feed(targets=(target('1'), target('2')), index=3), None)


def _replace_at_address(harness: EdgeHarness) -> None:
    second = dataclasses.replace(target('3'), address=target('1').address)
    harness.edge.apply(feed(targets=(second, target('2')), index=2), None)


LATER = [
    ('reload', _reload, '1', True),
    ('feed_lists_it_as_running', _list_again, '1', True),
    ('answer_without_the_header', _answer_without_header, '1', True),
    ('new_incarnation', _restart, '1', False),
    ('removal', _remove_and_list, '1', False),
    ('second_target_on_its_address', _replace_at_address, '3', False),
]
"""What happens after a target left, and whether one then counts as leaving."""

STAGES = [
    ('before', None, 0.0, DepartureStage.staying),
    ('at_once', 0.0, 0.0, DepartureStage.last_resort),
    ('shortly_before_the_end', 0.0, ENDS - 0.01, DepartureStage.last_resort),
    ('at_the_end', 0.0, ENDS, DepartureStage.closed),
    ('long_after', 0.0, 60.0, DepartureStage.closed),
]


class DepartureTest(unittest.TestCase):
    """A departure has an end that later answers do not postpone."""

    @parameterized.expand(STAGES)
    def test_stage(
        self,
        _name: str,
        begins: float | None,
        passed: float,
        stage: DepartureStage,
    ) -> None:
        departure = Departure(Seconds(DRAIN))
        if begins is not None:
            departure.begin(Seconds(NOW + begins))
        self.assertIs(departure.stage(Seconds(NOW + passed)), stage)

    @parameterized.expand(
        [
            ('later_answer', (0.0, 1.0), ENDS),
            ('older_news', (0.0, -0.5), ENDS - 0.5),
        ]
    )
    def test_earliest_answer_counts(
        self, _name: str, begins: tuple[float, ...], end: float
    ) -> None:
        departure = Departure(Seconds(DRAIN))
        were_new = [departure.begin(Seconds(NOW + begin)) for begin in begins]
        self.assertEqual(were_new, [True, False])
        self.assertAlmostEqual(departure.time_left(Seconds(NOW)), end)


class LeavingHeaderTest(unittest.TestCase):
    """Only the value that the platform names counts."""

    @parameterized.expand(HEADERS)
    def test_header(
        self, _name: str, lines: list[tuple[str, str]], is_leaving: bool
    ) -> None:
        headers = HTTPHeaders()
        for name, text in lines:
            headers.add(name, text)
        reader = PlatformHeaders()
        for statement in (
            reader.read_response(200, headers).statement,
            reader.read_health(headers).statement,
        ):
            self.assertIs(statement.is_leaving, is_leaving)


class LeavingTargetTest(unittest.IsolatedAsyncioTestCase):
    """From its first such answer on, a target gets no more requests."""

    @parameterized.expand(ANSWERS)
    async def test_answer(
        self, _name: str, status: int, headers: dict[str, str], leaves: bool
    ) -> None:
        harness = EdgeHarness(target('1'))
        harness.set_behaviour('1', status, headers)
        with harness.running():
            answer = await harness.call()
        self.assertEqual(harness.requests()[0], '1')
        self.assertIs(harness.view('1').departure.has_begun, leaves)
        self.assertEqual(len(harness.logged('target_leaving')), int(leaves))
        if leaves and status in {200, 404}:
            self.assertEqual(answer.headers['Server-Leaving'], '1')

    async def test_health_answer(self) -> None:
        harness = EdgeHarness(target('1'), target('2'))
        harness.set_behaviour('1', 503, LEAVING)
        with harness.running():
            await harness.probe('1')
            harness.refresh()
            for _ in range(8):
                await harness.call()
        self.assertEqual(set(harness.requests()), {'2'})
        self.assertEqual(harness.count('requests_withheld', cause='leaving'), 8)

    @parameterized.expand([('named', 'another'), ('unnamed', '')])
    async def test_health_answer_of_another_target(
        self, _name: str, sender: str
    ) -> None:
        harness = EdgeHarness(target('1'))
        harness.set_behaviour('1', 503, {**LEAVING, 'X-Instance-Id': sender})
        with harness.running():
            await harness.probe('1')
        self.assertFalse(harness.view('1').departure.has_begun)

    async def test_requests_on_their_way_go_elsewhere(self) -> None:
        harness = EdgeHarness(target('1'), target('2'))
        with harness.running():
            harness.connecting.clear()
            calls = [asyncio.ensure_future(harness.call()) for _ in range(6)]
            await asyncio.sleep(0.01)
            self.assertGreater(harness.view('1').in_flight, 0)
            harness.view('1').departure.begin(harness.clock.now())
            harness.connecting.set()
            answers = await asyncio.gather(*calls)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(set(harness.requests()), {'2'})

    async def test_running_request_is_left_to_finish(self) -> None:
        harness = EdgeHarness(target('1'))
        with harness.running():
            harness.answering.clear()
            call = asyncio.ensure_future(harness.call())
            await asyncio.sleep(0.01)
            harness.view('1').departure.begin(harness.clock.now())
            harness.clock.time += 0.1
            harness.answering.set()
            self.assertEqual((await call).status, 200)

    @parameterized.expand(LATER)
    async def test_later(
        self,
        _name: str,
        disturb: Callable[[EdgeHarness], None],
        name: str,
        leaves: bool,
    ) -> None:
        harness = EdgeHarness(target('1'), target('2'))
        harness.view('1').departure.begin(harness.clock.now())
        disturb(harness)
        view = harness.view(name)
        self.assertIs(view.departure.has_begun, leaves)
        may_send = harness.edge.may_send(view, harness.clock.now())
        self.assertIs(may_send, not leaves)


LAST_RESORTS = [
    ('another_is_there', ('1',), (), 0.1, {'2', '3'}),
    ('others_are_lost', ('1',), ('2', '3'), 0.1, {'1'}),
    ('all_leave', ('1', '2', '3'), (), 0.1, {'1', '2', '3'}),
    ('all_leave_the_end', ('1', '2', '3'), (), ENDS, set()),
    ('all_leave_long_ago', ('1', '2', '3'), (), 30.0, set()),
    ('others_are_lost_the_end', ('1',), ('2', '3'), ENDS, set()),
]
"""Targets that leave, targets that are lost, seconds since then, and the
targets of requests."""


class LastResortTest(unittest.IsolatedAsyncioTestCase):
    """A leaving target serves only what no other one can, and not for long."""

    @parameterized.expand(LAST_RESORTS)
    async def test_requests(
        self,
        _name: str,
        leaving: tuple[str, ...],
        lost: tuple[str, ...],
        passed: float,
        wanted: set[str],
    ) -> None:
        harness = EdgeHarness(target('1'), target('2'), target('3'))
        for name in leaving:
            harness.view(name).departure.begin(harness.clock.now())
        harness.clock.time += passed
        for name in lost:
            harness.view(name).eject(harness.clock.now())
        harness.refresh(*lost)
        began_at = asyncio.get_running_loop().time()
        with harness.running():
            answers = [await harness.call() for _ in range(6)]
        took = asyncio.get_running_loop().time() - began_at
        self.assertLessEqual(set(harness.requests()), wanted)
        self.assertEqual(bool(harness.requests()), bool(wanted))
        statuses = {answer.status for answer in answers}
        self.assertEqual(statuses, {200} if wanted else {503})
        self.assertLess(took, AT_ONCE)
        for answer in answers:
            if answer.status == 503:
                self.assertGreater(float(answer.headers['Retry-After']), 0)
        if not wanted:
            reason = harness.logged('request_refused')[-1]['reason']
            self.assertIn('leaving', reason)

    async def test_kept_connection_is_not_used(self) -> None:
        harness = EdgeHarness(target('1'))
        harness.view('1').departure.begin(harness.clock.now())
        with harness.running():
            await harness.call()
            await harness.probe('1')
        self.assertEqual(
            [arrival.uses_kept_connection for arrival in harness.arrivals],
            [False, False],
        )

    async def test_request_is_not_sent_after_the_end(self) -> None:
        harness = EdgeHarness(target('1'))
        harness.view('1').departure.begin(harness.clock.now())
        with harness.running():
            harness.connecting.clear()
            call = asyncio.ensure_future(harness.call())
            await asyncio.sleep(0.01)
            harness.clock.time += ENDS
            harness.connecting.set()
            self.assertEqual((await call).status, 503)
        self.assertEqual(harness.requests(), [])

    async def test_roll_through_all_targets(self) -> None:
        names = [str(number) for number in range(4)]
        harness = EdgeHarness(*map(target, names))
        with harness.running():
            for index, old in enumerate(names, start=2):
                harness.set_behaviour(old, 200, LEAVING)
                await harness.probe(old)
                harness.refresh()
                harness.arrivals.clear()
                answers = [await harness.call() for _ in range(4)]
                self.assertEqual({answer.status for answer in answers}, {200})
                self.assertNotIn(old, harness.requests())
                # It starts again under its name before the next one leaves.
                harness.set_behaviour(old)
                records = (
                    dataclasses.replace(target(name), born=10 + (name <= old))
                    for name in names
                )
                restarted = feed(targets=tuple(records), index=index)
                harness.edge.apply(restarted, None)
                harness.clock.time += 1
                harness.refresh()

    @parameterized.expand([('cold', 3.0), ('unverified', None)])
    async def test_target_that_leaves_early(
        self, _name: str, cold_time_left: float | None
    ) -> None:
        harness = EdgeHarness(target('1'))
        view = harness.view('1')
        if cold_time_left is None:
            view.mark_unverified()
        else:
            view.verify(Seconds(cold_time_left), harness.clock.now())
        harness.set_behaviour(
            '1',
            200,
            {**LEAVING, 'X-Warmup-Ms': str(int(cold_time_left or 0) * 1000)},
        )
        with harness.running():
            await harness.probe('1')
            statuses = [(await harness.call()).status for _ in range(5)]
        # A cold target keeps its limited rate; an unverified one is probed.
        wanted = [200] + [503] * 4 if cold_time_left else [200] * 5
        self.assertEqual(statuses, wanted)


class ReachTest(unittest.IsolatedAsyncioTestCase):
    """Leaving targets beside an instance that loses its paths to targets."""

    @parameterized.expand(
        [
            ('all_paths_lost', (), '12', True),
            ('lost_one_is_leaving', ('1',), '1', False),
            ('lost_ones_are_leaving', ('1', '2'), '12', False),
            ('lost_one_stays', ('1',), '2', True),
        ]
    )
    def test_cut_off(
        self, _name: str, leaving: tuple[str, ...], lost: str, cut_off: bool
    ) -> None:
        harness = EdgeHarness(target('1'), target('2'))
        for name in leaving:
            harness.view(name).departure.begin(Seconds(NOW))
        for name in lost:
            harness.view(name).lose_path(Seconds(NOW))
        self.assertIs(is_cut_off(harness.edge.views(), NOW), cut_off)

    @parameterized.expand([('lost', '2', True), ('in_reach', '', False)])
    async def test_forwarding_comes_before_the_last_resort(
        self, _name: str, lost: str, is_doubtful: bool
    ) -> None:
        harness = EdgeHarness(*map(target, '123'))
        for name in '13':
            harness.view(name).departure.begin(Seconds(NOW))
        harness.view('2').eject(Seconds(NOW))
        for name in lost:
            harness.view(name).lose_path(Seconds(NOW))
        pool = harness.edge.pool_by_service[ServiceId('stock')]
        selector = TargetSelector(harness.context, pool)
        with harness.running():
            candidate = await selector.select(requirements())
        assert candidate is not None
        self.assertTrue(candidate.is_last_resort)
        call = unittest.mock.Mock(losses=[])
        self.assertIs(selector.is_doubtful(candidate, call), is_doubtful)

    @parameterized.expand([('of_a_caller', True), ('forwarded', False)])
    async def test_forwarded_request_has_no_last_resort(
        self, _name: str, is_sent: bool
    ) -> None:
        # Its sender may have ended the use of a target that leaves.
        harness = EdgeHarness(target('1'))
        harness.view('1').departure.begin(Seconds(NOW))
        selector = TargetSelector(
            harness.context, harness.edge.pool_by_service[ServiceId('stock')]
        )
        incoming = harness.read()
        if not is_sent:
            incoming = incoming.forwarded(
                Forwarding(CallId('r'), 1, ServiceId('stock'))
            )
        with harness.running():
            candidate = await selector.select(incoming.requirements(()))
        self.assertIs(candidate is not None, is_sent)


class DepartureNewsTest(unittest.TestCase):
    """Instances nearby learn that a target leaves, and since when."""

    @parameterized.expand(SIZES)
    def test_departure_reaches_all(self, _name: str, instances: int) -> None:
        domain = Domain(instances)
        origin = instances - 1
        domain.now += 0.5
        domain.view(origin, '0').departure.begin(Seconds(NOW))
        parcels = domain.gossip(origin).share_load(
            domain.view(origin, '0'), Seconds(domain.now)
        )
        domain.send(origin, parcels)
        domain.tick_until_forwarded()
        for number in range(instances):
            departure = domain.view(number, '0').departure
            self.assertAlmostEqual(
                departure.time_left(Seconds(NOW)), ENDS, delta=0.01
            )

    def test_another_incarnation_is_not_meant(self) -> None:
        domain = Domain(2)
        domain.view(0, '0').departure.begin(Seconds(NOW))
        restarted = dataclasses.replace(target('0'), born=11)
        domain.edges[1].apply(
            feed(*domain.records, targets=(restarted,), index=2), None
        )
        domain.send(
            0, domain.gossip(0).share_load(domain.view(0, '0'), Seconds(NOW))
        )
        self.assertFalse(domain.view(1, '0').departure.has_begun)

    def test_news_are_reported_once(self) -> None:
        domain = Domain(2)
        domain.view(0, '0').departure.begin(Seconds(NOW))
        news = [
            parcel.news
            for _ in range(2)
            for parcel in domain.gossip(0).share_load(
                domain.view(0, '0'), Seconds(NOW)
            )
        ]
        gossip = domain.gossip(1)
        found = [len(gossip.receive(each, Seconds(NOW))) for each in news]
        self.assertEqual(found, [1, 0])

    @parameterized.expand([('open', 0.5, True), ('closed', ENDS, False)])
    def test_probes(self, _name: str, passed: float, is_probed: bool) -> None:
        domain = Domain(1, targets=1)
        domain.view(0, '0').departure.begin(Seconds(NOW))
        due = domain.gossip(0).probes_due(Seconds(NOW + passed))
        self.assertEqual(bool(due), is_probed)

    @parameterized.expand(
        [
            ('told', [DEPARTURE], True),
            ('by_an_earlier_version', None, False),
        ]
    )
    def test_encoding(
        self,
        _name: str,
        leaving: list[ttypes.TargetDeparture] | None,
        is_told: bool,
    ) -> None:
        struct = ttypes.LoadNews('d', False, [], [], ['t'], leaving)
        octets = codec._write(ttypes.Body(load_news=struct))
        message = codec.decode(octets).unwrap()
        self.assertEqual(message.lost, ('t',))
        self.assertEqual(
            message.leaving, (TargetDeparture('t', BORN, 700),) * is_told
        )
        self.assertEqual(codec.decode(codec.encode(message)).unwrap(), message)

"""Targets that turn requests away and ask for a pause.

Pattern: a target rejects what comes, each rejection takes it some work, and
the instances go on asking it.
"""

import asyncio
import dataclasses
import unittest

from parameterized import parameterized
from tornado.httputil import HTTPHeaders

from tests.edge_harness import EdgeHarness
from tests.edge_samples import NOW, feed, target
from tests.entry_harness import EntryHarness
from tests.test_front import call
from tests.test_gossip import Domain
from tests.test_service import _service as make_service
from tests.test_target import SPEC
from turmericmast.balance.openness import withheld_by
from turmericmast.balance.pause import (
    MAX_PAUSE,
    RAMP,
    Pause,
    PauseOutcome,
    PauseRequest,
    PauseStage,
)
from turmericmast.ids import (
    CallId,
    Fingerprint,
    Incarnation,
    Seconds,
    TargetId,
    TenantId,
)
from turmericmast.platform.headers import PlatformHeaders
from turmericmast.service.backlog import QueuedCall
from turmericmast.target.announcement import Announcement, TargetState
from turmericmast.target.target import REFUSAL_PAUSE, Target
from turmericmast.web.crashdetection import CrashDetector

NOT_RUN = {'X-Not-Executed': '1'}
PAUSE = {**NOT_RUN, 'Retry-After': '2'}
AT_ONCE = 1.0
"""Seconds in which several calls end, each of which could wait for 0.3 s."""
OUTCOMES = PauseOutcome

HEADERS = [
    ('whole', ['2'], 2.0),
    ('fraction', ['0.25'], 0.25),
    ('zero', ['0'], 0.0),
    ('hours', ['10800'], 10800.0),
    ('negative', ['-1'], None),
    ('not_a_number', ['nan'], None),
    ('infinite', ['inf'], None),
    ('over_the_range_of_floats', ['1e400'], None),
    ('thousands_of_digits', ['9' * 5000], None),
    ('date', ['Wed, 21 Oct 2015 07:28:00 GMT'], None),
    ('list', ['2, 3'], None),
    ('two_headers', ['2', '3'], None),
    ('empty', [''], None),
    ('dot', ['.'], None),
]
"""Values of the header, and the seconds; ``None`` if it cannot be read."""

PAUSES = [
    ('one', [(0.0, 2.0, OUTCOMES.begun)], 2.0),
    ('zero', [(0.0, 0.0, OUTCOMES.unchanged)], 0.0),
    ('unreadable', [(0.0, None, OUTCOMES.unreadable)], 0.0),
    ('hours', [(0.0, 10800.0, OUTCOMES.bounded)], MAX_PAUSE),
    (
        'several_rejections',
        [(0.0, 2.0, OUTCOMES.begun), (0.1, 2.0, OUTCOMES.unchanged)],
        2.1,
    ),
    (
        'longer',
        [(0.0, 2.0, OUTCOMES.begun), (0.1, 5.0, OUTCOMES.extended)],
        5.1,
    ),
    (
        'shorter',
        [(0.0, 5.0, OUTCOMES.begun), (0.1, 1.0, OUTCOMES.unchanged)],
        5.0,
    ),
    (
        'unreadable_after_a_good_one',
        [(0.0, 2.0, OUTCOMES.begun), (0.1, None, OUTCOMES.unreadable)],
        2.0,
    ),
    (
        'again_after_the_end',
        [(0.0, 2.0, OUTCOMES.begun), (3.0, 2.0, OUTCOMES.begun)],
        5.0,
    ),
]
"""Times, lengths and outcomes of requests for a pause, and when it ends."""

ANSWERS = [
    ('rejection', 503, PAUSE, True),
    ('failure', 503, {'Retry-After': '2'}, True),
    ('too_many_requests', 429, PAUSE, False),
    ('other_failure', 500, {'Retry-After': '2'}, False),
    ('success', 200, {'Retry-After': '2'}, False),
    ('misdirected', 421, PAUSE, False),
    ('another_request', 503, {**PAUSE, 'X-Request-Id': 'q'}, False),
    ('unreadable', 503, {**NOT_RUN, 'Retry-After': 'soon'}, False),
    ('negative', 503, {**NOT_RUN, 'Retry-After': '-3'}, False),
    ('thousands_of_digits', 503, {**NOT_RUN, 'Retry-After': '9' * 5000}, False),
    ('without_header', 503, NOT_RUN, False),
]
"""Status and headers of an answer, and whether the target is paused by it."""


class PauseTest(unittest.TestCase):
    """A pause ends once, at the latest time that an answer has named."""

    @parameterized.expand(HEADERS)
    def test_header(
        self, _name: str, texts: list[str], seconds: float | None
    ) -> None:
        headers = HTTPHeaders()
        for text in texts:
            headers.add('Retry-After', text)
        reader = PlatformHeaders()
        for statement in (
            reader.read_response(503, headers).statement,
            reader.read_health(headers).statement,
        ):
            self.assertEqual(statement.pause, PauseRequest(seconds))

    @parameterized.expand(PAUSES)
    def test_requests_for_a_pause(
        self,
        _name: str,
        requests: list[tuple[float, float | None, PauseOutcome]],
        end: float,
    ) -> None:
        pause = Pause(0)
        outcomes = [
            pause.begin(PauseRequest(seconds), Seconds(NOW + at))
            for at, seconds, _ in requests
        ]
        self.assertEqual(outcomes, [request[2] for request in requests])
        self.assertAlmostEqual(pause.time_left(Seconds(NOW)), end)

    @parameterized.expand(
        [
            ('paused', 1.9, PauseStage.paused, 0),
            ('first_request', 2.0, PauseStage.returning, 1),
            ('half_of_the_slots', 2 + RAMP / 2, PauseStage.returning, 3),
            ('all', 2 + RAMP, PauseStage.none, 4),
        ]
    )
    def test_slow_start(
        self, _name: str, passed: float, stage: PauseStage, most: int
    ) -> None:
        pause = Pause(0)
        pause.begin(PauseRequest(2), Seconds(NOW))
        now = Seconds(NOW + passed)
        self.assertIs(pause.stage(now), stage)
        if stage is not PauseStage.paused:
            admitted = [
                count for count in range(4) if pause.admits(count, 4, now)
            ]
            self.assertEqual(len(admitted), most)

    def test_instances_return_one_after_the_other(self) -> None:
        pauses = [Pause(rank / 10) for rank in range(10)]
        for pause in pauses:
            pause.begin(PauseRequest(2), Seconds(NOW))
        ends = [pause.time_left(Seconds(NOW)) for pause in pauses]
        gaps = [later - end for end, later in zip(ends, ends[1:], strict=False)]
        self.assertGreaterEqual(min(ends), 2)
        self.assertGreater(min(gaps), 0.01)


class PausingTargetTest(unittest.IsolatedAsyncioTestCase):
    """Until its pause ends, a target gets nothing from this instance."""

    @parameterized.expand(ANSWERS)
    async def test_answer(
        self, _name: str, status: int, headers: dict[str, str], pauses: bool
    ) -> None:
        harness = EdgeHarness(target('1'))
        harness.set_behaviour('1', status, headers)
        with harness.running():
            await harness.call()
        is_paused = harness.view('1').pause.is_on(harness.clock.now())
        self.assertIs(is_paused, pauses)
        is_unreadable = (
            status == 503 and not pauses and 'Retry-After' in headers
        )
        is_own = headers.get('X-Request-Id') is None
        self.assertEqual(
            len(harness.logged('target_paused')),
            int(pauses or (is_unreadable and is_own)),
        )

    @parameterized.expand([('rejected', 503, True), ('healthy', 200, False)])
    async def test_health_answer(
        self, _name: str, status: int, pauses: bool
    ) -> None:
        harness = EdgeHarness(target('1'))
        harness.set_behaviour('1', status, PAUSE)
        with harness.running():
            await harness.probe('1')
        is_paused = harness.view('1').pause.is_on(harness.clock.now())
        self.assertIs(is_paused, pauses)

    @parameterized.expand([('alone', '1'), ('beside_others', '123')])
    async def test_arrivals_within_the_pause(
        self, _name: str, names: str
    ) -> None:
        harness = EdgeHarness(*map(target, names))
        harness.set_behaviour('1', 503, PAUSE)
        with harness.running():
            for _ in range(40):
                harness.refresh()
                await asyncio.gather(*(harness.call() for _ in range(4)))
                await harness.probe('1')
                harness.clock.time += 0.05
        at_target = [
            arrival.at - NOW
            for arrival in harness.arrivals
            if arrival.target == '1'
        ]
        self.assertTrue(at_target)
        first = min(at_target)
        self.assertEqual(
            [at for at in at_target if first + 0.05 <= at < first + 2], []
        )

    async def test_requests_on_their_way_go_elsewhere(self) -> None:
        harness = EdgeHarness(target('1'), target('2'))
        with harness.running():
            harness.connecting.clear()
            calls = [asyncio.ensure_future(harness.call()) for _ in range(6)]
            await asyncio.sleep(0.01)
            self.assertGreater(harness.view('1').in_flight, 0)
            harness.view('1').pause.begin(PauseRequest(2), Seconds(NOW))
            harness.connecting.set()
            answers = await asyncio.gather(*calls)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(set(harness.requests()), {'2'})
        self.assertGreater(
            harness.count('requests_withheld', cause='paused'), 0
        )

    async def test_probe_on_its_way_is_withheld(self) -> None:
        harness = EdgeHarness(target('1'))
        with harness.running():
            harness.connecting.clear()
            probe = asyncio.ensure_future(harness.probe('1'))
            await asyncio.sleep(0.01)
            harness.view('1').pause.begin(PauseRequest(2), Seconds(NOW))
            harness.connecting.set()
            # The target has just responded, so it is not taken for lost.
            self.assertTrue(await probe)
        self.assertEqual(harness.arrivals, [])
        self.assertLessEqual(harness.view('1').ejected_until(), NOW)

    async def test_paused_target_does_not_count_as_crashed(self) -> None:
        harness = EdgeHarness(target('1'))
        harness.view('1').pause.begin(PauseRequest(2), Seconds(NOW))
        report = unittest.mock.AsyncMock()
        detector = CrashDetector(
            harness.edge,
            harness.context.prober,
            harness.clock,
            harness.events,
            report,
        )
        with harness.running():
            await detector.check(harness.view('1'), Fingerprint('f'))
        self.assertFalse(report.called)
        self.assertEqual(harness.transfers, 0)

    def test_no_background_probes(self) -> None:
        domain = Domain(1, targets=1)
        domain.view(0, '0').pause.begin(PauseRequest(2), Seconds(NOW))
        gossip = domain.gossip(0)
        self.assertEqual(gossip.probes_due(Seconds(NOW + 1.9)), [])
        self.assertEqual(len(gossip.probes_due(Seconds(NOW + 2.6))), 1)

    def test_other_instances_go_on(self) -> None:
        domain = Domain(2)
        view = domain.view(0, '0')
        view.pause.begin(PauseRequest(2), Seconds(NOW))
        domain.send(0, domain.gossip(0).share_load(view, Seconds(NOW)))
        other = domain.view(1, '0')
        self.assertIsNone(withheld_by(other, Seconds(NOW)))

    @parameterized.expand(
        [
            ('new_incarnation', {'born': 11}, False),
            ('same_incarnation', {'sequence': 9}, True),
        ]
    )
    async def test_incarnation(
        self, _name: str, change: dict[str, int], is_paused: bool
    ) -> None:
        harness = EdgeHarness(target('1'))
        harness.view('1').pause.begin(PauseRequest(60), Seconds(NOW))
        later = dataclasses.replace(target('1'), **change)
        harness.edge.apply(feed(targets=(later,), index=2), None)
        self.assertIs(harness.view('1').pause.is_on(Seconds(NOW)), is_paused)


class CallersOfPausedTargetsTest(unittest.IsolatedAsyncioTestCase):
    """Callers are served elsewhere, or told at once when to come back."""

    async def test_rejected_request_goes_to_another_target(self) -> None:
        harness = EdgeHarness(target('1'), target('2'))
        for name in '12':
            harness.set_behaviour(name, 503, PAUSE)
        first = harness.view('1')
        with harness.running():
            harness.set_behaviour('2')
            harness.view('2').eject(Seconds(NOW - 0.1))
            harness.refresh('2')
            call = asyncio.ensure_future(harness.call())
            await asyncio.sleep(0)
            harness.clock.time += 0.3
            harness.refresh()
            answer = await call
        self.assertEqual((answer.status, harness.requests()), (200, ['1', '2']))
        self.assertTrue(first.pause.is_on(harness.clock.now()))

    @parameterized.expand([('short', 0.4), ('long', 30.0)])
    async def test_refused_at_once_until_the_end(
        self, _name: str, length: float
    ) -> None:
        harness = EdgeHarness(target('1'))
        harness.view('1').pause.begin(PauseRequest(length), Seconds(NOW))
        began_at = asyncio.get_running_loop().time()
        with harness.running():
            answers = [await harness.call() for _ in range(5)]
        took = asyncio.get_running_loop().time() - began_at
        self.assertLess(took, AT_ONCE)
        self.assertEqual({answer.status for answer in answers}, {503})
        delays = {float(answer.headers['Retry-After']) for answer in answers}
        self.assertGreaterEqual(min(delays), min(length, 1))
        self.assertLessEqual(max(delays), 1)
        if length < 1:
            self.assertEqual(len(delays), 5)
        reason = harness.logged('request_refused')[-1]['reason']
        self.assertIn('paused', reason)

    async def test_waiting_requests_do_not_all_return_at_once(self) -> None:
        harness = EdgeHarness(target('1'))
        harness.view('1').pause.begin(PauseRequest(2), Seconds(NOW))
        harness.clock.time += 2.6
        harness.refresh()
        with harness.running():
            harness.answering.clear()
            calls = [asyncio.ensure_future(harness.call()) for _ in range(12)]
            await asyncio.sleep(0.05)
            self.assertLessEqual(len(harness.requests()), 3)
            harness.answering.set()
            answers = await asyncio.gather(*calls)
        refused = [answer for answer in answers if answer.status == 503]
        self.assertGreaterEqual(len(refused), 9)


class PausedServiceTest(unittest.TestCase):
    """An entry queues a call only if a pause ends before its deadline."""

    @parameterized.expand(
        [
            ('no_pause', (), 1.0, True, 1),
            ('pause_ends_in_time', (0,), 3.0, True, 0),
            ('pause_ends_too_late', (0,), 1.9, False, 0),
            ('another_target_is_open', (0, 1), 1.0, True, 1),
        ]
    )
    def test_queue(
        self,
        _name: str,
        targets: tuple[int, ...],
        deadline: float,
        is_admitted: bool,
        sent: int,
    ) -> None:
        service = make_service(max(len(targets), 1))
        if targets:
            paused = service.target_by_id[TargetId('t0')]
            paused.pause.begin(PauseRequest(2), Seconds(NOW))
        queued_call = QueuedCall(
            CallId('c'), TenantId('a'), Seconds(NOW + deadline)
        )
        now = Seconds(NOW)
        self.assertIs(service.admit(queued_call, now), is_admitted)
        self.assertEqual(len(list(service.dispatch(now))), sent)

    def test_call_in_the_queue_is_refused_when_a_pause_begins(self) -> None:
        service = make_service(1)
        now = Seconds(NOW)
        for name, deadline in (('early', 1), ('late', 3)):
            service.admit(
                QueuedCall(
                    CallId(name), TenantId('a'), Seconds(NOW + deadline)
                ),
                now,
            )
        self.assertEqual(service.hopeless_calls(now), [])
        paused = service.target_by_id[TargetId('t0')]
        paused.pause.begin(PauseRequest(2), now)
        self.assertEqual(service.hopeless_calls(now), ['early'])

    @parameterized.expand([('same', 'i1', True), ('new', 'i2', False)])
    def test_incarnation(
        self, _name: str, incarnation: str, is_paused: bool
    ) -> None:
        paused = Target(SPEC, Seconds(NOW), unclean_handover=False)
        paused.pause.begin(PauseRequest(60), Seconds(NOW))
        spec = dataclasses.replace(SPEC, incarnation=Incarnation(incarnation))
        announcement = Announcement(spec, TargetState.ready, 0)
        paused.apply_announcement(announcement, Seconds(NOW))
        self.assertIs(not paused.is_available(Seconds(NOW)), is_paused)


class PausedEntryTest(unittest.IsolatedAsyncioTestCase):
    """What an entry has learned from a rejection binds its next requests."""

    @parameterized.expand(
        [('pause', '200', 1), ('unreadable', 'soon', 2), ('none', '', 2)]
    )
    async def test_requests_after_a_rejection(
        self, _name: str, pause: str, runs: int
    ) -> None:
        async with EntryHarness(targets=1) as harness:
            raw_target = harness.targets[0]
            raw_target.pause = pause
            await call(harness, '/stock/shed', 'POST', b'x')
            before = len(raw_target.runs)
            await asyncio.sleep(REFUSAL_PAUSE + 0.05)
            answer = await call(harness, '/stock/ok', 'POST', b'x')
            more = len(raw_target.runs) - before
            self.assertEqual(more, runs - 1)
            self.assertEqual(answer.code, 201 if more else 503)

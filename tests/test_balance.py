"""Where requests go under loads of a known pattern, without a network."""

import collections
import dataclasses
import itertools
import unittest

from parameterized import parameterized

from tests.edge_samples import (
    NOW,
    ask,
    instance,
    pool,
    standing,
    target,
)
from turmericmast.balance.affinity import affinity
from turmericmast.balance.coldshare import ColdShare, senders
from turmericmast.balance.hedge import Hedge
from turmericmast.balance.load import LoadReport
from turmericmast.balance.news import describe, learn
from turmericmast.balance.pool import Candidate, Pool
from turmericmast.balance.repeats import RepeatBudget
from turmericmast.balance.standing import PROOF_LIFE, Standing, Trust
from turmericmast.balance.usual import Usual
from turmericmast.balance.value import Distance, Outlook
from turmericmast.call.call import Loss

INSTANCES = 16
FAR_TARGETS = 6

PATTERNS = [
    (
        'calm_near_before_far',
        [standing('1'), standing('2', 'tirol-b'), standing('3', 'wien-a')],
        '1',
    ),
    (
        'neighbour_slows_down_in_the_domain',
        [standing('1', slowness=7), standing('2')],
        '2',
    ),
    (
        'whole_domain_slow_goes_to_the_region',
        [
            standing('1', slowness=7),
            standing('2', 'tirol-b'),
            standing('3', 'wien-a'),
        ],
        '2',
    ),
    (
        'whole_region_slow_goes_abroad',
        [
            standing('1', slowness=7),
            standing('2', 'tirol-b', slowness=7),
            standing('3', 'wien-a'),
        ],
        '3',
    ),
    (
        'burst_fills_the_near_one',
        [standing('1', busy=12), standing('2', busy=1)],
        '2',
    ),
    (
        'burst_fills_the_domain',
        [standing('1', busy=12), standing('2', 'tirol-b')],
        '2',
    ),
    (
        'speed_shifts_so_the_newer_report_counts_for_more',
        [standing('1', age=0.3), standing('2', 'tirol-b')],
        '2',
    ),
    (
        'full_near_one_goes_to_the_region',
        [standing('1', busy=4), standing('2', 'tirol-b')],
        '2',
    ),
    (
        'half_full_near_one_stays_near',
        [standing('1', busy=2), standing('2', 'tirol-b')],
        '1',
    ),
    (
        'far_one_no_better_stays_near',
        [standing('1', slowness=1.2), standing('2', 'tirol-b')],
        '1',
    ),
    (
        'far_one_faster_by_half_is_worth_the_octets',
        [standing('1', slowness=1.5), standing('2', 'tirol-b')],
        '2',
    ),
]

ENDINGS = [
    ('refused_connection', Loss.never_sent, 0, Trust.shunned),
    ('after_the_pause_ask_first', Loss.never_sent, 0.25, Trust.unproved),
    ('lost_connection', Loss.connection_lost, 0.25, Trust.unproved),
    ('full', Loss.shed, 0, Trust.shunned),
    ('full_a_moment_later', Loss.shed, 0.06, Trust.warm),
    ('failed_answer', Loss.failed, 0, Trust.warm),
    ('success', None, 0, Trust.warm),
    ('proof_grows_old', None, PROOF_LIFE + 0.01, Trust.unproved),
]

WORK = [
    ('as_guessed', [0.1], 0.1),
    ('shorter', [0.06], 0.06),
    ('a_tenth_slowed_down_on_the_way', [0.1] * 9 + [0.6], 0.1),
    ('a_tenth_refused_at_once', [0.1] * 9 + [0.001], 0.1),
]

ON_COURSE = [
    ('at_work_as_usual', 1, 0.07, True),
    ('slowed_down_and_still_in_time_for_another', 7, 0.07, False),
    ('overdue_though_it_reports_no_load', 1, 0.22, False),
]

HEDGES = [
    ('first_is_at_work_as_usual', 1, 1, 0.12, 1, False),
    ('first_has_slowed_down', 1, 7, 0.12, 1, True),
    ('first_was_slow_all_along', 7, 7, 0.12, 1, True),
    ('first_is_nearly_done', 7, 1, 0.12, 1, False),
    ('second_is_slow_too', 1, 7, 0.12, 7, False),
    ('first_is_a_little_late', 1, 1, 0.2, 1, False),
    ('first_hangs_though_it_reports_no_load', 1, 1, 0.8, 1, True),
]


class PoolTest(unittest.TestCase):
    """The best target by what is known of all of them."""

    @parameterized.expand(PATTERNS)
    def test_pattern(
        self,
        _name: str,
        standings: list[Standing],
        wanted: str,
    ) -> None:
        best = pool(*standings).best(ask(), Distance.abroad, NOW)
        self.assertEqual(best and best.standing.record.target, wanted)

    def test_download_stays_in_its_domain(self) -> None:
        known = pool(standing('1', slowness=3), standing('2', 'tirol-b'))
        for _ in range(200):
            known.usual('plans').learn(0.1, 1, 90_000)
        plans = dataclasses.replace(ask(), route='plans')
        best = known.best(plans, Distance.abroad, NOW)
        self.assertEqual(best and best.standing.record.target, '1')

    @parameterized.expand(
        [
            ('look_up_at_a_slow_one', 800, 7, True),
            ('look_up_at_a_fast_one', 800, 1, True),
            ('download_at_a_slow_one', 90_000, 7, False),
            ('download_at_a_fast_one', 90_000, 1, False),
        ],
    )
    def test_far_targets_are_probed_only_if_they_could_win(
        self,
        _name: str,
        octets: int,
        slowness: float,
        could_win: bool,
    ) -> None:
        known = pool(standing('1', slowness=slowness), standing('2', 'tirol-b'))
        for _ in range(200):
            known.usual('look').learn(0.1, 1, octets)
        best = known.best(ask(), Distance.domain, NOW)
        assert best is not None
        found = known.may_do_better(ask(), Distance.region, best, NOW)
        self.assertIs(found, could_win)

    def test_download_beside_orders_keeps_its_own_size(self) -> None:
        known = pool(standing('1', slowness=3), standing('2', 'tirol-b'))
        for _ in range(200):
            known.usual('plans').learn(0.07, 1, 90_000)
            known.usual('orders').learn(0.12, 1, 400)
        found = [
            known.best(
                dataclasses.replace(ask(), route=route),
                Distance.abroad,
                NOW,
            )
            for route in ('plans', 'orders')
        ]
        self.assertEqual(
            ['1', '2'],
            [one.standing.record.target for one in found if one],
        )

    @parameterized.expand(
        [
            ('evacuated_domain', 'evacuated', frozenset(('tirol-a',))),
            ('already_tried', 'avoid', ('1',)),
            ('home_elsewhere', 'homes', ('wien',)),
        ],
    )
    def test_never_sent_to(self, name: str, what: str, to: tuple) -> None:
        known = pool(standing('1'))
        if what == 'evacuated':
            known.evacuated = to
        wanted = ask(*to) if what == 'avoid' else ask()
        wanted = ask(homes=to) if what == 'homes' else wanted
        self.assertIsNone(known.best(wanted, Distance.abroad, NOW))

    def test_burst_spreads_over_equal_targets(self) -> None:
        known = pool(standing('1'), standing('2'), standing('3'))
        for _ in range(9):
            best = known.best(ask(), Distance.abroad, NOW)
            assert best is not None
            known.start(best.standing, NOW)
        spread = [one.in_flight for one in known.standing_by_target.values()]
        self.assertEqual(spread, [3, 3, 3])

    def test_newcomer_gets_its_turn_at_low_load(self) -> None:
        known = pool(standing('1'), standing('2'))
        newcomer = standing('3')
        known.standing_by_target[newcomer.record.target] = newcomer
        used = []
        for step in range(6):
            best = known.best(ask(), Distance.abroad, NOW)
            assert best is not None
            known.start(best.standing, NOW + step / 100)
            best.standing.leave()
            best.standing.hear_load(LoadReport(0, 0, 4), NOW)
            used.append(best.standing.record.target)
        self.assertEqual(used, ['1', '2', '3', '1', '2', '3'])

    def test_refused_callers_return_when_a_target_opens(self) -> None:
        shunned = standing('1')
        shunned.start()
        shunned.end(Loss.connection_lost, NOW)
        self.assertAlmostEqual(pool(shunned).opens_in(ask(), NOW), 0.2)


class HerdTest(unittest.TestCase):
    """Instances that know the same do not all do the same."""

    @parameterized.expand(
        [
            ('whole_domain_slow', 'tirol-b', 1),
            ('whole_region_slow', 'wien-a', 1),
            ('targets_there_half_full', 'wien-a', 3),
        ],
    )
    def test_far_targets_share_what_comes(
        self,
        _name: str,
        domain: str,
        busy: int,
    ) -> None:
        chosen = collections.Counter(
            self._choose(f'edge-{number}', domain, busy)
            for number in range(INSTANCES)
        )
        self.assertGreaterEqual(len(chosen), FAR_TARGETS - 2)
        self.assertLessEqual(max(chosen.values()), INSTANCES / 3)

    def test_instances_probe_different_targets(self) -> None:
        probed = collections.Counter(
            one.record.target
            for number in range(INSTANCES)
            for one in self._pool(f'edge-{number}', 'wien-a', 0, age=1).stale(
                ask(),
                Distance.abroad,
                NOW,
            )
        )
        self.assertGreaterEqual(len(probed), FAR_TARGETS - 2)

    def test_near_targets_are_ranked_by_load_alone(self) -> None:
        known = pool(standing('1', busy=1), standing('2'))
        for one in known.standing_by_target.values():
            one.spread_rank = affinity(one.record.target, 'edge')
        best = known.best(ask(), Distance.abroad, NOW)
        self.assertEqual(best and best.standing.record.target, '2')

    def _choose(self, edge: str, domain: str, busy: int) -> str:
        known = self._pool(edge, domain, busy)
        best = known.best(ask(), Distance.abroad, NOW)
        assert best is not None
        return best.standing.record.target

    def _pool(
        self,
        edge: str,
        domain: str,
        busy: int,
        age: float = 0,
    ) -> Pool:
        far = [
            standing(str(number), domain, busy=busy, age=age)
            for number in range(FAR_TARGETS)
        ]
        for one in far:
            one.spread_rank = affinity(one.record.target, edge)
        return pool(*far)


class DemandTest(unittest.TestCase):
    """Targets are asked beforehand where that costs fewer probes."""

    @parameterized.expand(
        [
            ('no_requests', 0, 1, 0, False),
            ('rare_downloads', 2, 3, 0, False),
            ('look_ups_all_the_time', 8, 3, 0, True),
            ('one_busy_instance', 30, 1, 0, True),
            ('calm_after_a_burst', 30, 1, 4, False),
        ],
    )
    def test_reports_by_demand(
        self,
        _name: str,
        rate: int,
        instances: int,
        calm: float,
        is_wanted: bool,
    ) -> None:
        known = pool(standing('1'), standing('2'), standing('3', 'tirol-b'))
        known.near_instances = instances
        for step in range(rate * 5):
            known.demand.note(NOW + step / max(rate, 1))
        now = NOW + 5 + calm
        self.assertIs(known.wants_reports(now), is_wanted)


class StandingTest(unittest.TestCase):
    """What an answer says about sending more."""

    @parameterized.expand(ENDINGS)
    def test_endings(
        self,
        _name: str,
        loss: Loss | None,
        later: float,
        trust: Trust,
    ) -> None:
        known = standing('1')
        known.start()
        known.end(loss, NOW)
        self.assertIs(known.trust(NOW + later), trust)

    def test_failed_answers_count_against_a_target(self) -> None:
        grey, sound = standing('1'), standing('2')
        for _ in range(4):
            grey.start()
            grey.end(Loss.failed, NOW)
        best = pool(grey, sound).best(ask(), Distance.abroad, NOW)
        self.assertEqual(best and best.standing.record.target, '2')

    @parameterized.expand(
        [('older', -0.1, False), ('newer', 0.1, True)],
    )
    def test_news(self, _name: str, shift: float, is_news: bool) -> None:
        told, known = standing('1', slowness=5), standing('1')
        told.hear_load(LoadReport(3, 0, 4, 5), NOW + shift)
        told.prove(0, NOW + shift)
        heard = learn(known, describe(told, NOW + 0.2), NOW + 0.2)
        self.assertIs(heard, is_news)
        self.assertEqual(known.report.slowness, 5 if is_news else 1)


class ColdTest(unittest.TestCase):
    """A cold target never gets more than it bears, whoever sends."""

    @parameterized.expand(
        [
            ('one_domain', 3, 0),
            ('lone_instance', 1, 0),
            ('many_instances', 20, 0),
            ('two_views_at_once', 20, 3),
        ],
    )
    def test_cold_return(self, _name: str, count: int, lost: int) -> None:
        rate, slack, factor = 13, 5, 1.5
        edges = [instance(f'e{number}') for number in range(count)]
        views = [edges, edges[lost:]]
        allowed = {
            name
            for view in views
            for name in senders(target('1'), 'tirol', view)
        }
        shares = [ColdShare() for _ in allowed]
        sent = 0
        for step, share in itertools.product(range(1000), shares):
            now = NOW + step / 1000
            if share.has_room(now):
                share.take(rate, now)
                sent += 1
        self.assertLessEqual(sent, rate * factor + slack)
        self.assertGreater(sent, 0)

    def test_cold_target_gets_nothing_from_the_others(self) -> None:
        cold = standing('1')
        cold.prove(3, NOW)
        known = pool(cold)
        self.assertIsNone(known.best(ask(), Distance.abroad, NOW))
        known.cold_targets = frozenset(('1',))
        self.assertIsNotNone(known.best(ask(), Distance.abroad, NOW))

    def test_unproved_target_is_asked_first(self) -> None:
        known = pool(standing('1', proved_at=NOW - 2))
        self.assertIsNone(known.best(ask(), Distance.abroad, NOW))
        self.assertEqual(len(known.stale(ask(), Distance.domain, NOW)), 1)


class RepeatsTest(unittest.TestCase):
    """Instances together keep the budget without asking each other."""

    @parameterized.expand([(1, 100), (20, 10), (20, 100), (60, 3)])
    def test_retry_storm(self, instances: int, requests: int) -> None:
        ratio, slack = 0.2, 68
        spent = 0
        for _ in range(instances):
            budget = RepeatBudget(ratio)
            budget.share(slack, instances)
            for _request in range(requests):
                budget.earn()
                spent += sum(budget.spend() for _ in range(3))
        self.assertLessEqual(spent, ratio * requests * instances + slack)


class UsualTest(unittest.TestCase):
    """What requests of a route take, whatever befalls some of them."""

    @parameterized.expand(WORK)
    def test_noisy_neighbours(
        self,
        _name: str,
        took: list[float],
        wanted: float,
    ) -> None:
        usual = Usual()
        for one in itertools.islice(itertools.cycle(took), 400):
            usual.learn(one, 1, 1000)
        self.assertLess(abs(usual.work / wanted - 1), 0.1)


class HedgeTest(unittest.TestCase):
    """A repeat has a reason in what the first target reports."""

    @parameterized.expand(
        [
            ('look_up_to_the_domain', 800, Distance.domain, True),
            ('look_up_to_the_region', 800, Distance.region, True),
            ('download_to_the_domain', 90_000, Distance.domain, True),
            ('download_to_the_region', 90_000, Distance.region, False),
        ],
    )
    def test_octets_of_a_repeat_count(
        self,
        _name: str,
        octets: int,
        distance: Distance,
        is_worth: bool,
    ) -> None:
        first = standing('1')
        hedge = Hedge(Candidate(first, Distance.domain, 1), NOW)
        now = NOW + 0.1
        first.hear_load(LoadReport(1, 0, 4, 7), now)
        second = Candidate(standing('2'), distance, 1)
        outlook = Outlook(0.15, 1.1, 0.07, octets)
        self.assertIs(hedge.is_worth(second, outlook, now), is_worth)

    @parameterized.expand(ON_COURSE)
    def test_neighbour_wakes_up(
        self,
        _name: str,
        slowness_now: float,
        waited: float,
        is_on_course: bool,
    ) -> None:
        first = standing('1')
        hedge = Hedge(Candidate(first, Distance.domain, 1), NOW)
        now = NOW + waited
        first.hear_load(LoadReport(1, 0, 4, slowness_now), now)
        outlook = Outlook(0.25 - waited, 0.8 - waited, 0.09, 800)
        self.assertIs(hedge.is_on_course(outlook, now), is_on_course)

    @parameterized.expand(
        [
            ('just_reported', 0.02, -9, False),
            ('nothing_heard_since_the_sending', 0.07, -9, True),
            ('asked_a_moment_ago', 0.07, 0.01, False),
        ],
    )
    def test_first_target_is_asked_how_it_does(
        self,
        _name: str,
        report_age: float,
        probe_age: float,
        needs_report: bool,
    ) -> None:
        first = standing('1')
        now = NOW + report_age
        if probe_age >= 0:
            first.probed_at = now - probe_age
        hedge = Hedge(Candidate(first, Distance.domain, 1), NOW)
        self.assertIs(hedge.needs_report(now), needs_report)

    @parameterized.expand(HEDGES)
    def test_slow_neighbour(
        self,
        _name: str,
        slowness: float,
        slowness_now: float,
        waited: float,
        slowness_of_second: float,
        is_worth: bool,
    ) -> None:
        first = standing('1', slowness=slowness)
        hedge = Hedge(Candidate(first, Distance.domain, 1), NOW)
        now = NOW + waited
        first.hear_load(LoadReport(1, 0, 4, slowness_now), now)
        second = standing('2', slowness=slowness_of_second)
        outlook = Outlook(0.25 - waited, 1.2 - waited, 0.09, 800)
        found = hedge.is_worth(
            Candidate(second, Distance.domain, 1),
            outlook,
            now,
        )
        self.assertIs(found, is_worth)

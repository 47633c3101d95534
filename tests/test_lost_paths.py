"""Targets that one instance cannot reach although others can.

Pattern: the links between an instance and targets are lost, while other
instances go on to tell it that these targets are up.
"""

import unittest

from parameterized import parameterized

from tests.edge_samples import NOW, target_view
from turmericmast.balance.news import describe_load, merge_load
from turmericmast.balance.targetview import Eligibility, TargetView
from turmericmast.call.call import Loss
from turmericmast.edge.reach import is_cut_off


def _lose(view: TargetView) -> TargetView:
    view.begin_request()
    view.end_request(Loss.never_sent, NOW)
    return view


class PathTest(unittest.TestCase):
    """That others reach a target does not make it reachable from here."""

    @parameterized.expand(
        [
            ('confirmed_by_another_instance', False, Eligibility.unreachable),
            ('answers_this_instance', True, Eligibility.warm),
        ]
    )
    def test_lost_path(
        self, _name: str, is_own_answer: bool, expected: Eligibility
    ) -> None:
        view = _lose(target_view())
        later = NOW + 5
        if is_own_answer:
            view.confirm_path(NOW)
        confirmed = target_view(verified_at=later)
        merge_load(view, describe_load(confirmed, later), later)
        self.assertIs(view.eligibility(later), expected)

    def test_ejections_grow_while_others_reach_the_target(self) -> None:
        view = target_view()
        ends = []
        for _ in range(4):
            _lose(view)
            ends.append(view.ejected_until() - NOW)
            merge_load(view, describe_load(target_view(), NOW), NOW)
        self.assertEqual(sorted(set(ends)), ends)

    @parameterized.expand(
        [
            ('none', 0, 4, 4, False),
            ('half', 2, 2, 4, False),
            ('most', 3, 1, 4, True),
            ('all', 4, 0, 4, True),
            ('no_targets', 0, 0, 0, False),
            ('single_crash_at_an_idle_instance', 1, 0, 50, False),
            ('few_of_a_large_fleet_tried', 3, 0, 50, True),
            ('three_crashed_others_answer', 3, 3, 50, False),
        ]
    )
    def test_cut_off(
        self, _name: str, lost: int, answered: int, known: int, expected: bool
    ) -> None:
        views = [target_view(str(number)) for number in range(known)]
        for view in views[:lost]:
            _lose(view)
        for answering in views[lost : lost + answered]:
            answering.confirm_path(NOW)
        self.assertIs(is_cut_off(views, NOW), expected)

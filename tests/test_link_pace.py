"""Large bodies on a slow link, without network.

Pattern: some bodies of 1 to 5 MB keep the queue of an instance's link full.
Health checks and connections to targets and polls of the core wait in it, and
the instance takes its targets for lost (docs/incidents/config-large.md, H7).
"""

import dataclasses
import unittest

from hypothesis import given, settings, strategies
from parameterized import parameterized

from tests.platform_samples import ROUTES, changed, encoded
from turmericmast.balance.linkpace import BODY_SHARE, LinkPace
from turmericmast.balance.uploadplan import UploadPlan
from turmericmast.ids import CallId, Seconds
from turmericmast.platform.documents import DocumentFormat
from turmericmast.route.table import RouteTable

SLOW, FAST = 2_000_000 / 8, 4_250_000 / 8
"""Octets a second of the slowest links."""
PART = 16_384
"""Octets that a body passes on at a time."""
WINDOW = 262_144
"""Octets of one body that senders without a pace keep in the queue."""
STEP = 0.005
SMALL = 400
"""Octets of a small message: a health check or a part of a poll."""
SMALL_EACH = 0.1
"""Seconds from one small message to the next."""
PROBE_TIMEOUT = 0.3
CORE_TIMEOUT = 2.0


@dataclasses.dataclass
class _Body:
    left: int
    may_go_on_at: Seconds = Seconds(0)


class _Link:
    """A link with one queue, first in, first out."""

    def __init__(self, rate: float) -> None:
        self.queued = float(0)
        self._rate = rate

    def pass_time(self) -> None:
        """Send what a step allows."""
        self.queued = max(self.queued - self._rate * STEP, 0)

    def delay(self) -> float:
        """Return the seconds that the next message waits."""
        return self.queued / self._rate


def _run(
    rate: float, pace: LinkPace, sizes: list[int], seconds: float
) -> tuple[float, list[float]]:
    """Return the longest delay of small messages, and when bodies end."""
    link, bodies = _Link(rate), [_Body(size) for size in sizes]
    longest, ends = float(0), [float('inf')] * len(sizes)
    for step in range(int(seconds / STEP)):
        now = Seconds(step * STEP)
        link.pass_time()
        for index, body in enumerate(bodies):
            may_send = body.left > 0 and now >= body.may_go_on_at
            if may_send and link.queued < WINDOW * len(bodies):
                part = min(PART, body.left)
                body.left -= part
                link.queued += part
                body.may_go_on_at = pace.pass_on(part, now)
                ends[index] = now + link.delay()
        if step % int(SMALL_EACH / STEP) == 0:
            link.queued += SMALL
            longest = max(longest, link.delay())
    return longest, ends


class LinkPaceTest(unittest.TestCase):
    """Bodies leave room for small messages."""

    # Guards against health checks that time out, and polls that are late,
    # behind bodies on the instance's own link.
    @parameterized.expand(
        [
            ('one_upload', FAST, [5_000_000]),
            ('three_bodies', FAST, [1_000_000, 3_000_000, 5_000_000]),
            ('slow_link', SLOW, [1_000_000, 1_000_000]),
        ]
    )
    def test_small_messages(
        self, _name: str, rate: float, sizes: list[int]
    ) -> None:
        longest, ends = _run(rate, LinkPace(rate), sizes, 30)
        self.assertLess(longest, PROBE_TIMEOUT)
        self.assertLess(max(ends), sum(sizes) / rate / BODY_SHARE + 1)

    # Shows that this load is the one: without a pace, checks and polls are
    # late.
    @parameterized.expand([('fast', FAST), ('slow', SLOW)])
    def test_without_pace(self, _name: str, rate: float) -> None:
        longest, _ = _run(rate, LinkPace(), [3_000_000] * 5, 8)
        self.assertGreater(longest, CORE_TIMEOUT)

    # Guards against a pace by which the largest upload misses its time.
    def test_largest_upload(self) -> None:
        _, ends = _run(FAST, LinkPace(FAST), [5_000_000], 15)
        self.assertLess(ends[0], 11.7)

    # Guards against a body that gets none of the link.
    def test_even_shares(self) -> None:
        _, ends = _run(FAST, LinkPace(FAST), [1_000_000] * 4, 15)
        self.assertLess(max(ends) - min(ends), 0.5)


class UploadPlanTest(unittest.TestCase):
    """An upload that cannot pass in time is known before it is read."""

    # Guards against uploads that are read in vain, and against those that are
    # refused although there is room.
    @parameterized.expand(
        [
            ('alone', [], 5_000_000, 11.7, True),
            ('too_large', [], 6_000_000, 11.7, False),
            ('second', [(5_000_000, 11.7)], 5_000_000, 11.7, False),
            ('small_second', [(4_000_000, 11.7)], 1_000_000, 11.7, True),
            ('harms_the_first', [(5_000_000, 11.7)], 1_000_000, 30, False),
            ('first_has_ended', [(5_000_000, 0)], 5_000_000, 11.7, True),
            ('unknown_length', [(5_000_000, 11.7)], 0, 11.7, True),
        ]
    )
    def test_fits(
        self,
        _name: str,
        planned: list[tuple[int, float]],
        octets: int,
        deadline: float,
        expected: bool,
    ) -> None:
        plan = UploadPlan(LinkPace(FAST))
        for number, (size, end) in enumerate(planned):
            plan.begin(CallId(str(number)), size, Seconds(end))
        fits = plan.fits(octets, Seconds(deadline), Seconds(0))
        self.assertIs(fits, expected)

    # Guards against admitted uploads that miss their deadlines under the pace.
    @settings(max_examples=30, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(100_000, 5_000_000),
                strategies.floats(2, 20),
            ),
            max_size=5,
        )
    )
    def test_admitted_uploads_pass_in_time(
        self, wanted: list[tuple[int, float]]
    ) -> None:
        pace = LinkPace(FAST)
        plan = UploadPlan(pace)
        admitted = []
        for number, (size, deadline) in enumerate(wanted):
            if plan.fits(size, Seconds(deadline), Seconds(0)):
                plan.begin(CallId(str(number)), size, Seconds(deadline))
                admitted.append((size, deadline))
        _, ends = _run(FAST, pace, [size for size, _ in admitted], 25)
        for end, (_, deadline) in zip(ends, admitted, strict=True):
            self.assertLess(end, deadline + 0.5)

    # Guards against a retry time that is not true.
    def test_time_until_room(self) -> None:
        plan = UploadPlan(LinkPace(FAST))
        plan.begin(CallId('a'), 4_000_000, Seconds(20))
        plan.pass_on(CallId('a'), 3_000_000)
        expected = 1_000_000 / (FAST * BODY_SHARE)
        self.assertAlmostEqual(plan.time_until_room(Seconds(0)), expected)
        plan.end(CallId('a'))
        self.assertEqual(plan.time_until_room(Seconds(0)), 0)


class RoutesTest(unittest.TestCase):
    """Guards against slower downloads where nobody uploads."""

    @parameterized.expand(
        [('safe', False), ('download', False), ('upload', True)]
    )
    def test_paced_for_uploads_only(self, kind: str, is_needed: bool) -> None:
        tree = changed(ROUTES, 'routes.order.kind', kind)
        document = DocumentFormat().parse(encoded(tree)).unwrap()
        self.assertIs(RouteTable(document).has_uploads, is_needed)
        pace = LinkPace(1000)
        pace.is_needed = is_needed
        self.assertIs(pace.is_limited, is_needed)

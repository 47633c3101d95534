"""How an edge selects a core member to follow, without a network.

Pattern of ``FirstStartTest``: the whole system starts for the first time, and
hundreds of edges are in domains whose members have not joined yet.
"""

import asyncio
import dataclasses
import math
import time
import types
import unittest.mock
import zlib
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Result, Success

from tests.edge_samples import (
    REGION_BY_DOMAIN,
    SkewedClock,
    edge,
    feed,
    instance,
    target,
)
from tests.platform_samples import ROUTES, encoded
from turmericmast.cluster.records import RoutesRecord
from turmericmast.edge.edge import Edge
from turmericmast.edge.nearmember import ASK_INTERVAL, PATIENCE
from turmericmast.exceptions import WireError
from turmericmast.ids import Digest, MemberId, Version
from turmericmast.instancesettings import Bounds
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs.clusterwatcher import (
    DEPRIORITIZE_SECONDS,
    HEDGE_DELAY,
    REQUEST_TIMEOUT,
    RETRY_INTERVAL,
    STALE_PATIENCE,
    ClusterWatcher,
)
from turmericmast.wire.watchrequests import (
    AskMember,
    TellMember,
    WatchCluster,
    WatchedCluster,
)

KNOWN_INDEX = 5
CONTACTS = ('10.0.0.1:7', '10.0.0.2:7', '10.0.0.3:7')
NEAR = MemberId('10.0.0.4:7')
"""The member in the domain of the edge, which joins later."""
LOCAL = MemberId('10.0.0.9:7')
"""The member on the host of the edge."""
NO_ANSWER = math.inf
"""Delay of a member that has no power or is suspended."""
REFUSES = 'refuses'
"""The process was not started yet, so connections are refused."""
LAGS = 'lags'
"""The member has an older index than the edge."""
LOST_QUORUM = 'lost quorum'
"""The member is cut off from the others of its group."""
RESTARTED = 'restarted'
"""The member has no contact to a quorum yet, and lacks the last commits."""
RESTARTED_LATE = 'restarted late'
"""Like ``RESTARTED``, and its answer comes after ``STALE_PATIENCE``."""
BREAKS = 'breaks'
"""The answer of the member raises an unexpected error."""

FIRST_CONTACTS = [
    ('all_answer', [0.01, 0.01, 0.01], 0, HEDGE_DELAY),
    ('first_is_silent', [NO_ANSWER, 0.01, 0.01], 1, 2 * HEDGE_DELAY),
    ('two_are_silent', [NO_ANSWER, NO_ANSWER, 0.01], 2, 3 * HEDGE_DELAY),
    ('first_is_slow', [3 * HEDGE_DELAY, 0.01, 0.01], 1, 2 * HEDGE_DELAY),
    (
        'others_are_silent',
        [2 * HEDGE_DELAY, NO_ANSWER, NO_ANSWER],
        0,
        3 * HEDGE_DELAY,
    ),
    ('first_refuses_connections', [REFUSES, 0.01, 0.01], 1, HEDGE_DELAY),
    ('first_lags', [LAGS, 0.01, 0.01], 1, HEDGE_DELAY),
    ('first_has_lost_quorum', [LOST_QUORUM, 0.01, 0.01], 1, HEDGE_DELAY),
    ('all_refuse_connections', [REFUSES, REFUSES, REFUSES], None, HEDGE_DELAY),
]


class _NullEvents:
    """Event log that drops all events."""

    def write(self, _kind: str, **_fields: object) -> None:
        """Drop the event."""


class _FakeLink:
    """A link to a member with a given behaviour.

    A number is the delay of its answer in seconds.
    """

    def __init__(self, behaviour: float | str) -> None:
        self._behaviour = behaviour
        self.near_member = MemberId('')
        """The member that it names to edges that look for one."""
        self.received: list[type] = []

    async def request(self, body: object, timeout: float) -> Result[Any, Any]:
        """Return an answer or a failure, as the behaviour says."""
        self.received.append(type(body))
        if self._behaviour == REFUSES:
            return Failure(WireError('refused', step='ask', hint='wait'))
        delay = _delay(self._behaviour)
        await asyncio.sleep(min(delay, timeout))
        if delay > timeout:
            return Failure(WireError('no answer', step='ask', hint='wait'))
        if isinstance(body, AskMember):
            return Success(TellMember(self.near_member))
        if self._behaviour == BREAKS:
            raise ValueError('an answer that cannot be handled')
        is_lost = self._behaviour in {LOST_QUORUM, RESTARTED, RESTARTED_LATE}
        is_behind = self._behaviour in {LAGS, RESTARTED, RESTARTED_LATE}
        return Success(
            WatchedCluster(
                feed(instance('a'), index=KNOWN_INDEX - is_behind),
                (),
                9000 if is_lost else 0,
            ),
        )


def _delay(behaviour: float | str) -> float:
    """Return the seconds until a member answers."""
    if behaviour == RESTARTED_LATE:
        return 2 * STALE_PATIENCE
    return 0 if isinstance(behaviour, str) else behaviour


class _FakeLinkPool:
    """Links to all contacts, by address."""

    def __init__(self, behaviours: list[float | str]) -> None:
        self.link_by_member = dict(
            zip(CONTACTS, map(_FakeLink, behaviours), strict=True),
        )

    def to(self, member: str) -> _FakeLink:
        """Return the link to a member."""
        return self.link_by_member[member]

    def set_behaviour(self, member: str, behaviour: float | str) -> None:
        """Change the behaviour of a member."""
        self.link_by_member[member] = _FakeLink(behaviour)

    def close_except(self, _members: object) -> None:
        """Keep all links."""


class MemberSelectionTest(unittest.IsolatedAsyncioTestCase):
    """Selection of a member at the start and after failures.

    A suspended or unpowered member does not refuse connections. The edge must
    try the next member after a few round trips, not after a whole timeout.
    """

    @parameterized.expand(FIRST_CONTACTS)
    async def test_first_contact(
        self,
        _name: str,
        behaviours: list[float | str],
        position: int | None,
        within: float,
    ) -> None:
        watcher, _, _ = _make_watcher(behaviours)
        began_at = time.monotonic()
        member = await watcher.find_member()
        self.assertEqual(
            member, None if position is None else CONTACTS[position]
        )
        self.assertLess(
            time.monotonic() - began_at, within + REQUEST_TIMEOUT / 4
        )

    @parameterized.expand(
        [
            ('runs', 0.01, LOCAL),
            ('not_started_yet', REFUSES, CONTACTS[0]),
            ('is_silent', NO_ANSWER, CONTACTS[0]),
        ]
    )
    async def test_member_on_the_same_host_is_asked_first(
        self, _name: str, behaviour: float | str, expected: str
    ) -> None:
        watcher, links, _ = _make_watcher([0.01] * 3, local_contact=LOCAL)
        links.link_by_member[LOCAL] = _FakeLink(behaviour)
        began_at = time.monotonic()
        self.assertEqual(await watcher.find_member(), expected)
        self.assertLess(time.monotonic() - began_at, 3 * HEDGE_DELAY)

    async def test_edge_returns_to_nearest_member(self) -> None:
        watcher, links, clock = _make_watcher([NO_ANSWER, 0.01, 0.01])
        member = await watcher.watch_next(None)
        self.assertEqual(member, CONTACTS[1])
        member = await watcher.watch_next(member)
        self.assertEqual(member, CONTACTS[1])
        links.set_behaviour(CONTACTS[0], 0.01)
        clock.offset = DEPRIORITIZE_SECONDS + 0.1
        member = await watcher.watch_next(member)
        self.assertEqual(member, CONTACTS[0])


class StaleAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An edge that starts beside a restarted member gets the newest state.

    Otherwise it would use targets that have left meanwhile.
    """

    @parameterized.expand(
        [
            ('current_one_follows', [RESTARTED, 0.01, 0.01], KNOWN_INDEX),
            ('others_are_silent', [RESTARTED, NO_ANSWER, 0.01], KNOWN_INDEX),
            ('core_lost_power', [RESTARTED] * 3, KNOWN_INDEX - 1),
            # Guards against a state that is applied again for each answer.
            (
                'others_answer_late',
                [RESTARTED, RESTARTED_LATE, RESTARTED_LATE],
                KNOWN_INDEX - 1,
            ),
            ('newest_of_all', [RESTARTED, LOST_QUORUM, REFUSES], KNOWN_INDEX),
        ]
    )
    async def test_first_view(
        self, _name: str, behaviours: list[float | str], expected: int
    ) -> None:
        watcher, _, _ = _make_watcher(behaviours, has_view=False)
        with unittest.mock.patch.object(
            watcher._edge, 'apply', wraps=watcher._edge.apply
        ) as apply:
            await watcher.find_member()
            await asyncio.sleep(1.5 * STALE_PATIENCE)
        applied = [call.args[0].index for call in apply.call_args_list]
        self.assertEqual(applied, [expected])

    async def test_unexpected_error_does_not_end_the_watching(self) -> None:
        watcher, links, _ = _make_watcher([BREAKS] * 3)
        with watcher:
            await asyncio.sleep(0.05)
            for contact in CONTACTS:
                links.set_behaviour(contact, 0.01)
            await asyncio.sleep(2 * RETRY_INTERVAL)
            self.assertEqual(watcher._contacted_member, CONTACTS[0])


class UnreadableRoutesTest(unittest.IsolatedAsyncioTestCase):
    """Routes that cannot be read are passed over; the rest of a feed is used.

    Guards against an edge that stops following the cluster.
    """

    @parameterized.expand(
        [
            ('not_compressed', b'{}'),
            ('cut_short', zlib.compress(encoded(ROUTES))[:-9]),
            ('number_too_large', zlib.compress(b'{"version": 1e400}')),
            ('nested_deeply', zlib.compress(b'[' * 100_000)),
        ]
    )
    async def test_feed(self, _name: str, source: bytes) -> None:
        watcher, _, _ = _make_watcher([0.01] * 3)
        former_routes = watcher._edge.route_table
        odd_feed = dataclasses.replace(
            feed(instance('a'), targets=(target('1'),), index=KNOWN_INDEX + 1),
            routes=RoutesRecord(Version(9), Digest('d'), source),
        )
        is_good = watcher._apply_answer(
            WatchedCluster(odd_feed, (), 0), CONTACTS[0]
        )
        self.assertTrue(is_good)
        self.assertEqual(watcher._edge.index, KNOWN_INDEX + 1)
        self.assertEqual(len(list(watcher._edge.views())), 1)
        self.assertIs(watcher._edge.route_table, former_routes)


class FirstStartTest(unittest.IsolatedAsyncioTestCase):
    """Only a member in the own domain sends changes while the group forms."""

    @parameterized.expand(
        [
            ('near_member_joined', NEAR, 0.01, 0, NEAR, AskMember),
            ('not_joined_yet', '', 0.01, 0, None, AskMember),
            ('near_member_is_silent', NEAR, REFUSES, 0, None, AskMember),
            ('patience_is_over', '', 0.01, PATIENCE, CONTACTS[0], WatchCluster),
        ]
    )
    async def test_first_question(
        self,
        _name: str,
        named: str,
        near_behaviour: float | str,
        waited: float,
        expected: str | None,
        asked_of_contact: type,
    ) -> None:
        watcher, links, clock = _make_watcher([0.01] * 3, is_first_start=True)
        links.link_by_member[NEAR] = _FakeLink(near_behaviour)
        for contact in CONTACTS:
            links.link_by_member[contact].near_member = MemberId(named)
        clock.offset = waited
        self.assertEqual(await watcher.watch_next(None), expected)
        self.assertEqual(
            links.link_by_member[CONTACTS[0]].received, [asked_of_contact]
        )

    async def test_silent_contact_is_asked_last(self) -> None:
        watcher, links, _ = _make_watcher(
            [REFUSES, 0.01, 0.01], is_first_start=True
        )
        links.link_by_member[NEAR] = _FakeLink(0.01)
        links.link_by_member[CONTACTS[1]].near_member = NEAR
        self.assertIsNone(await watcher.watch_next(None))
        self.assertEqual(await watcher.watch_next(None), NEAR)

    async def test_questions_are_few(self) -> None:
        watcher, links, clock = _make_watcher([0.01] * 3, is_first_start=True)
        began_at = clock.now()
        for _ in range(3):
            await watcher.watch_next(None)
        self.assertGreaterEqual(clock.now() - began_at, 3 * ASK_INTERVAL)

    async def test_restarted_edge_takes_any_member(self) -> None:
        watcher, links, _ = _make_watcher([0.01] * 3)
        self.assertEqual(await watcher.watch_next(None), CONTACTS[0])
        self.assertEqual(
            links.link_by_member[CONTACTS[0]].received, [WatchCluster]
        )


def _make_watcher(
    behaviours: list[float | str],
    *,
    is_first_start: bool = False,
    has_view: bool = True,
    local_contact: str = '',
) -> tuple[ClusterWatcher, _FakeLinkPool, SkewedClock]:
    clock = SkewedClock()
    process: Any = types.SimpleNamespace(
        clock=clock,
        events=_NullEvents(),
        settings=types.SimpleNamespace(
            contacts=CONTACTS,
            is_first_start=is_first_start,
            local_contact=local_contact,
            domain='wien-a',
            region='wien',
            region_by_domain=REGION_BY_DOMAIN,
            listening=types.SimpleNamespace(peers='10.0.0.9:8'),
        ),
    )
    links: Any = _FakeLinkPool(behaviours)
    watching_edge = (
        edge(instance('a'), feed(instance('a'), index=KNOWN_INDEX))
        if has_view
        else Edge(instance('a'), REGION_BY_DOMAIN, Bounds())
    )
    watcher = ClusterWatcher(process, watching_edge, DocumentFormat(), links)
    return watcher, links, clock

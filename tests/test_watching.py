"""How an edge finds a core member that answers, without a network."""

import asyncio
import math
import time
import types
import unittest
from typing import Any

from parameterized import parameterized
from returns.result import Failure, Result, Success

from tests.edge_samples import REGION_BY_DOMAIN, edge, feed, instance
from turmericmast.clock import SystemClock
from turmericmast.exceptions import WireError
from turmericmast.ids import Seconds
from turmericmast.platform.documents import DocumentFormat
from turmericmast.programs.watching import (
    AVOID_SECONDS,
    REQUEST_TIMEOUT,
    STAGGER,
    Watching,
)
from turmericmast.wire.clusterrequests import WatchedCluster

KNOWN = 5
CONTACTS = ('10.0.0.1:7', '10.0.0.2:7', '10.0.0.3:7')
SILENT = math.inf
REFUSES = 'refuses'
LAGS = 'lags'
LOST_QUORUM = 'lost quorum'

PATTERNS = [
    ('all_run', [0.01, 0.01, 0.01], 0, STAGGER),
    ('first_has_no_power', [SILENT, 0.01, 0.01], 1, 2 * STAGGER),
    ('two_have_no_power', [SILENT, SILENT, 0.01], 2, 3 * STAGGER),
    ('first_is_slow', [3 * STAGGER, 0.01, 0.01], 1, 2 * STAGGER),
    ('others_have_no_power', [2 * STAGGER, SILENT, SILENT], 0, 3 * STAGGER),
    ('first_was_not_started_yet', [REFUSES, 0.01, 0.01], 1, STAGGER),
    ('first_lags', [LAGS, 0.01, 0.01], 1, STAGGER),
    ('first_is_cut_off', [LOST_QUORUM, 0.01, 0.01], 1, STAGGER),
    ('none_was_started_yet', [REFUSES, REFUSES, REFUSES], None, STAGGER),
]


class _Events:
    """Takes events and keeps none."""

    def write(self, _kind: str, **_fields: object) -> None:
        """Drop an event."""


class _Link:
    """A link to a member that answers in a given manner."""

    def __init__(self, manner: float | str) -> None:
        self._manner = manner

    async def request(self, _body: object, timeout: float) -> Result[Any, Any]:
        """Answer after a while, or not at all."""
        if self._manner == REFUSES:
            return Failure(WireError('refused', step='ask', hint='wait'))
        delay = 0 if isinstance(self._manner, str) else self._manner
        await asyncio.sleep(min(delay, timeout))
        if delay > timeout:
            return Failure(WireError('no answer', step='ask', hint='wait'))
        is_lost = self._manner == LOST_QUORUM
        return Success(
            WatchedCluster(
                feed(instance('a'), index=KNOWN - (self._manner == LAGS)),
                (),
                9000 if is_lost else 0,
            ),
        )


class _LinkPool:
    """Links to the contacts."""

    def __init__(self, manners: list[float | str]) -> None:
        self._link_by_member = dict(
            zip(CONTACTS, map(_Link, manners), strict=True),
        )

    def to(self, member: str) -> _Link:
        """Return the link to a member."""
        return self._link_by_member[member]

    def set_manner(self, member: str, manner: float | str) -> None:
        """Let a member answer in another manner."""
        self._link_by_member[member] = _Link(manner)

    def close_except(self, _members: object) -> None:
        """Keep all of them."""


class FindTest(unittest.IsolatedAsyncioTestCase):
    """A silent member costs a start a few round trips, not a timeout."""

    @parameterized.expand(PATTERNS)
    async def test_first_contact(
        self,
        _name: str,
        manners: list[float | str],
        wanted: int | None,
        within: float,
    ) -> None:
        watching, _, _ = _watching(manners)
        began_at = time.monotonic()
        found = await watching.find()
        self.assertEqual(found, None if wanted is None else CONTACTS[wanted])
        self.assertLess(
            time.monotonic() - began_at, within + REQUEST_TIMEOUT / 4
        )

    async def test_near_member_is_gone_back_to(self) -> None:
        watching, links, clock = _watching([SILENT, 0.01, 0.01])
        member = await watching.follow(None)
        self.assertEqual(member, CONTACTS[1])
        member = await watching.follow(member)
        self.assertEqual(member, CONTACTS[1])
        links.set_manner(CONTACTS[0], 0.01)
        clock.ahead = AVOID_SECONDS + 0.1
        member = await watching.follow(member)
        self.assertEqual(member, CONTACTS[0])


class _Clock(SystemClock):
    """A clock that can be set ahead."""

    ahead = 0.0

    def now(self) -> Seconds:
        """Return the time."""
        return Seconds(super().now() + self.ahead)


def _watching(
    manners: list[float | str],
) -> tuple[Watching, _LinkPool, _Clock]:
    clock = _Clock()
    process: Any = types.SimpleNamespace(
        clock=clock,
        events=_Events(),
        settings=types.SimpleNamespace(
            contacts=CONTACTS,
            domain='wien-a',
            region='wien',
            region_by_domain=REGION_BY_DOMAIN,
            listening=types.SimpleNamespace(peers='10.0.0.9:8'),
        ),
    )
    links: Any = _LinkPool(manners)
    known = edge(instance('a'), feed(instance('a'), index=KNOWN))
    watching = Watching(process, known, DocumentFormat(), links)
    return watching, links, clock

"""Announcements of targets: who takes them, and how often they may come."""

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeAlias, final

from returns.result import Success

from turmericmast.entry.entry import Entry
from turmericmast.region.commands import PlaceTarget, WithdrawTarget
from turmericmast.region.records import Placement
from turmericmast.target.announcement import (
    Announcement,
    TargetState,
    parse_announcement,
)
from turmericmast.target.budget import AnnouncementBudget
from turmericmast.web.desk import Desk

PLACE_TIMEOUT = 3.0
"""Seconds for the control group to place a target."""
FIRST_INTERVAL_MS = 1000
OVERHEAD_BYTES = 400
"""Octets of HTTP around an announcement and its answer."""

Answer: TypeAlias = Callable[[int, dict[str, Any]], None]


@final
class Announcing:
    """Takes announcements and keeps their cost within the budget."""

    def __init__(self, desk: Desk) -> None:
        """Take announcements for the targets of one entry."""
        self._desk = desk
        self._entry: Entry = desk.entry
        self._budget = AnnouncementBudget()
        self._tasks: set[asyncio.Task[None]] = set()

    def take(self, octets: bytes, answer: Answer) -> None:
        """Take one announcement and answer it."""
        metrics = self._desk.metrics
        metrics.count('measure_requests')
        metrics.count('measure_bytes', len(octets) + OVERHEAD_BYTES)
        parsed = parse_announcement(_parse_json(octets))
        if not isinstance(parsed, Success):
            metrics.count('announcements_bad')
            answer(HTTPStatus.BAD_REQUEST, {'error': parsed.failure().show()})
            return
        announcement = parsed.unwrap()
        now = self._desk.clock.now()
        limit = self._entry.document.defaults.measure_bytes_per_second
        size = len(octets) + OVERHEAD_BYTES
        is_news = self._entry.changes_target(announcement)
        is_owned = self._entry.apply_announcement(announcement, now)
        if not self._budget.admit(size, limit, now) and not is_news:
            # It was heard, since it has been paid for; the next one waits.
            metrics.count('announcements_over_budget')
            answer(
                HTTPStatus.TOO_MANY_REQUESTS,
                self._document(
                    self._entry.instance,
                    self._interval(),
                    owned=True,
                ),
            )
        elif is_owned:
            self._hear_own(announcement, answer)
        else:
            self._place_soon(announcement, answer)

    def withdraw_silent(self) -> None:
        """Take out targets that are gone for long, or left with nothing."""
        now = self._desk.clock.now()
        for target in tuple(self._entry.ownership.targets()):
            is_expired = target.is_expired(now) or (
                target.is_leaving and not target.in_flight
            )
            if is_expired:
                self._start(
                    self._withdraw(
                        WithdrawTarget(
                            target.spec.target,
                            self._entry.instance,
                            target.spec.incarnation,
                        ),
                    ),
                )

    def _interval(self) -> float:
        return self._budget.interval(
            sum(1 for _ in self._entry.ownership.targets()),
            self._entry.document.defaults.measure_bytes_per_second,
        )

    def _hear_own(self, announcement: Announcement, answer: Answer) -> None:
        ownership = self._entry.ownership
        target = ownership.target(announcement.spec.target)
        interval = self._interval()
        if target:
            target.announce_interval = interval
        placement = self._entry.view.placement_by_target.get(
            announcement.spec.target,
        )
        self._desk.pump(announcement.spec.service)
        if placement and placement.spec != announcement.spec:
            self._start(self._place(announcement, None))
        answer(
            HTTPStatus.OK,
            self._document(self._entry.instance, interval, owned=True),
        )

    def _place_soon(self, announcement: Announcement, answer: Answer) -> None:
        placement = self._entry.view.placement_by_target.get(
            announcement.spec.target,
        )
        interval = FIRST_INTERVAL_MS / 1000
        is_known = placement is not None and placement.spec == announcement.spec
        if placement and is_known:
            answer(
                HTTPStatus.OK,
                self._document(placement.owner, interval, owned=False),
            )
        elif announcement.state is TargetState.leaving:
            answer(HTTPStatus.OK, self._document('', interval, owned=False))
        else:
            self._start(self._place(announcement, answer))

    async def _place(
        self,
        announcement: Announcement,
        answer: Answer | None,
    ) -> None:
        placed = await self._desk.change_region(
            PlaceTarget(announcement.spec),
            PLACE_TIMEOUT,
        )
        if answer is None:
            return
        if not isinstance(placed, Success):
            answer(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'error': placed.failure().show()},
            )
            return
        placement: Placement = placed.unwrap().placement
        interval = FIRST_INTERVAL_MS / 1000
        answer(
            HTTPStatus.OK,
            self._document(placement.owner, interval, owned=False),
        )

    async def _withdraw(self, command: WithdrawTarget) -> None:
        await self._desk.change_region(command, PLACE_TIMEOUT)

    def _start(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _document(
        self,
        owner: str,
        interval: float,
        *,
        owned: bool,
    ) -> dict[str, Any]:
        sessions = self._entry.view.session_by_instance
        first = [
            session.http
            for session in sessions.values()
            if session.instance == owner
        ]
        others = [
            session.http
            for session in sessions.values()
            if session.instance != owner
        ]
        return {
            'owned': owned,
            'announce_to': [*first, *others[:3]],
            'again_ms': int(interval * 1000),
        }


def _parse_json(octets: bytes) -> object:
    try:
        parsed: object = json.loads(octets)
    except ValueError:
        return None
    return parsed

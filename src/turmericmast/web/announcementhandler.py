"""Handle announcements of targets, within a budget of bytes per second."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeAlias, final

from returns.result import Success

from turmericmast.entry.entry import Entry
from turmericmast.jsontext import parse_json
from turmericmast.region.commands import PlaceTarget, WithdrawTarget
from turmericmast.region.records import Placement
from turmericmast.target.announcement import (
    Announcement,
    TargetState,
    parse_announcement,
)
from turmericmast.target.budget import AnnouncementBudget
from turmericmast.web.entrycontext import EntryContext

PLACE_TIMEOUT = 3.0
"""Seconds for the control group to place or withdraw a target."""
FIRST_INTERVAL_MS = 1000
"""Milliseconds until the next announcement of a target not owned here."""
OVERHEAD_BYTES = 400
"""Bytes assumed for the HTTP headers of an announcement and its response."""

Respond: TypeAlias = Callable[[int, dict[str, Any]], None]
"""Sends an HTTP status and a JSON document as the response."""


@final
class AnnouncementHandler:
    """Applies announcements, has new targets placed and enforces the budget."""

    def __init__(self, context: EntryContext) -> None:
        """Handle announcements to the entry of ``context``."""
        self._context = context
        self._entry: Entry = context.entry
        self._budget = AnnouncementBudget()
        self._tasks: set[asyncio.Task[None]] = set()

    def handle(self, octets: bytes, respond: Respond) -> None:
        """Apply one announcement and respond, at once or after placement.

        An announcement over the budget gets status 429, unless it changes the
        target.
        """
        metrics = self._context.metrics
        metrics.count('measure_requests')
        metrics.count('measure_bytes', len(octets) + OVERHEAD_BYTES)
        parsed = parse_announcement(parse_json(octets).value_or(None))
        if not isinstance(parsed, Success):
            metrics.count('announcements_bad')
            respond(HTTPStatus.BAD_REQUEST, {'error': parsed.failure().show()})
            return
        announcement = parsed.unwrap()
        now = self._context.clock.now()
        limit = self._entry.document.defaults.measure_bytes_per_second
        size = len(octets) + OVERHEAD_BYTES
        changes_target = self._entry.changes_target(announcement)
        is_owned = self._entry.apply_announcement(announcement, now)
        if not self._budget.admit(size, limit, now) and not changes_target:
            # It was applied all the same, since its bytes have already been
            # received; the response tells when the next one may come.
            metrics.count('announcements_over_budget')
            respond(
                HTTPStatus.TOO_MANY_REQUESTS,
                self._answer_document(
                    self._entry.instance,
                    self._announce_interval(),
                    owned=True,
                ),
            )
        elif is_owned:
            self._answer_owned(announcement, respond)
        else:
            self._answer_unowned(announcement, respond)

    def withdraw_expired(self) -> None:
        """Withdraw targets that are expired or are leaving and idle."""
        now = self._context.clock.now()
        for target in tuple(self._entry.ownership.targets()):
            should_withdraw = target.is_expired(now) or (
                target.is_leaving and not target.in_flight
            )
            if should_withdraw:
                self._spawn(
                    self._withdraw(
                        WithdrawTarget(
                            target.spec.target,
                            self._entry.instance,
                            target.spec.incarnation,
                        ),
                    ),
                )

    def _announce_interval(self) -> float:
        return self._budget.interval(
            sum(1 for _ in self._entry.ownership.targets()),
            self._entry.document.defaults.measure_bytes_per_second,
        )

    def _answer_owned(
        self, announcement: Announcement, respond: Respond
    ) -> None:
        ownership = self._entry.ownership
        target = ownership.target(announcement.spec.target)
        interval = self._announce_interval()
        if target:
            target.announce_interval = interval
        placement = self._entry.view.placement_by_target.get(
            announcement.spec.target,
        )
        self._context.dispatch(announcement.spec.service)
        if placement and placement.spec != announcement.spec:
            self._spawn(self._place(announcement, None))
        respond(
            HTTPStatus.OK,
            self._answer_document(self._entry.instance, interval, owned=True),
        )

    def _answer_unowned(
        self, announcement: Announcement, respond: Respond
    ) -> None:
        placement = self._entry.view.placement_by_target.get(
            announcement.spec.target,
        )
        interval = FIRST_INTERVAL_MS / 1000
        is_known = placement is not None and placement.spec == announcement.spec
        if placement and is_known:
            respond(
                HTTPStatus.OK,
                self._answer_document(placement.owner, interval, owned=False),
            )
        elif announcement.state is TargetState.leaving:
            respond(
                HTTPStatus.OK, self._answer_document('', interval, owned=False)
            )
        else:
            self._spawn(self._place(announcement, respond))

    async def _place(
        self,
        announcement: Announcement,
        respond: Respond | None,
    ) -> None:
        placed = await self._context.change_region(
            PlaceTarget(announcement.spec),
            PLACE_TIMEOUT,
        )
        if respond is None:
            return
        if not isinstance(placed, Success):
            respond(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'error': placed.failure().show()},
            )
            return
        placement: Placement = placed.unwrap().placement
        interval = FIRST_INTERVAL_MS / 1000
        respond(
            HTTPStatus.OK,
            self._answer_document(placement.owner, interval, owned=False),
        )

    async def _withdraw(self, command: WithdrawTarget) -> None:
        await self._context.change_region(command, PLACE_TIMEOUT)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _answer_document(
        self,
        owner: str,
        interval: float,
        *,
        owned: bool,
    ) -> dict[str, Any]:
        """Return the document that tells a target where to announce next.

        ``interval`` is the time until then, in seconds.
        """
        sessions = self._entry.view.session_by_instance
        owner_addresses = [
            session.http
            for session in sessions.values()
            if session.instance == owner
        ]
        other_addresses = [
            session.http
            for session in sessions.values()
            if session.instance != owner
        ]
        return {
            'owned': owned,
            'announce_to': [*owner_addresses, *other_addresses[:3]],
            'again_ms': int(interval * 1000),
        }

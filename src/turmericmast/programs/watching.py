"""Follow the cluster through whichever core member is near and fresh."""

import asyncio
import contextlib
import zlib
from collections.abc import Iterable
from types import TracebackType
from typing import TYPE_CHECKING, Self, final

from returns.result import Success

from turmericmast.clock import Clock
from turmericmast.cluster.commands import ReportCrash
from turmericmast.cluster.records import RoutesRecord
from turmericmast.edge.edge import Edge
from turmericmast.events import EventLog
from turmericmast.ids import DomainId, MemberId, RegionId
from turmericmast.instancesettings import InstanceSettings
from turmericmast.replica.messages import Seat
from turmericmast.route.document import RouteDocument, RouteFormat
from turmericmast.wire.clusterrequests import (
    TellIndex,
    WatchCluster,
    WatchedCluster,
)
from turmericmast.wire.linkpool import LinkPool

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process

REQUEST_TIMEOUT = 1.0
"""Seconds without an answer after which another member is asked.

Two members can be tried within the contact window of 3 s."""
FRESH_CONTACT_MS = 1200
"""Milliseconds without a quorum after which a member is not believed."""
AVOID_SECONDS = 1.5
"""Seconds for which a member that failed is asked last."""
RETRY_PAUSE = 0.1
"""Seconds until all members are asked again after none could answer."""
STAGGER = 0.1
"""Seconds without an answer after which the next member is asked as well.

Several round trips between regions. A member that is frozen or has no power
does not refuse, and must not cost a start a whole timeout."""


@final
class Watching:
    """Keeps an edge's view of the cluster up to date."""

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        edge: Edge,
        route_format: RouteFormat,
        links: LinkPool,
    ) -> None:
        """Know only the contacts of the settings; ask through ``links``."""
        self._clock: Clock = process.clock
        self._events: EventLog = process.events
        self._process = process
        self._edge = edge
        self._format = route_format
        self._seats: tuple[Seat, ...] = ()
        self._avoid_until_by_member: dict[MemberId, float] = {}
        self._links = links
        self._task: asyncio.Task[None] | None = None
        self._member = MemberId('')

    def __enter__(self) -> Self:
        """Begin to follow."""
        self._task = asyncio.ensure_future(self._run())
        self._task.add_done_callback(self._show_end)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop following."""
        if self._task:
            self._task.cancel()
            self._task = None
        self._links.close_except(())

    async def tell(self, crash: ReportCrash) -> bool:
        """Tell the core of a crash; returns whether it took note."""
        if not self._member:
            return False
        link = self._links.to(self._member)
        answer = await link.request(crash, REQUEST_TIMEOUT)
        return isinstance(answer.value_or(None), TellIndex)

    async def follow(self, member: MemberId | None) -> MemberId | None:
        """Ask a member for news; return whom to ask next, if anybody.

        A nearer one is gone back to as soon as it may answer again.
        """
        is_nearest = member is not None and member == self._ranked()[0]
        if member and is_nearest and await self._watch(member):
            return member
        return await self.find()

    async def find(self) -> MemberId | None:
        """Return the first member that answers well, the nearest asked first.

        A silent one is not waited for: soon the next one is asked beside it.
        """
        member_by_task: dict[asyncio.Task[bool], MemberId] = {}
        found: MemberId | None = None
        with contextlib.ExitStack() as stack:
            for member in self._ranked():
                task = asyncio.ensure_future(self._watch(member))
                stack.callback(task.cancel)
                member_by_task[task] = member
                found = await _first_good(member_by_task, STAGGER)
                if found:
                    break
            while member_by_task and found is None:
                found = await _first_good(member_by_task, None)
        for silent in member_by_task.values():
            self._avoid(silent)
        return found

    def _show_end(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error:
            self._events.write('watching_ended', error=repr(error))

    async def _run(self) -> None:
        member: MemberId | None = None
        while True:
            member = await self.follow(member)
            if member is None:
                await asyncio.sleep(RETRY_PAUSE)

    async def _watch(self, member: MemberId) -> bool:
        """Ask one member; tell whether it may be asked again at once."""
        answer = await self._links.to(member).request(
            WatchCluster(self._edge.record, self._edge.index),
            REQUEST_TIMEOUT,
        )
        told = answer.value_or(None)
        is_good = isinstance(told, WatchedCluster) and self._take(told)
        self._note_contact(member, is_good=is_good)
        return is_good

    def _take(self, told: WatchedCluster) -> bool:
        if not self._edge.accepts(told.feed):
            return False
        routes = told.feed.routes
        self._edge.apply(told.feed, self._document(routes) if routes else None)
        if told.seats:
            self._seats = told.seats
            kept = {seat.member for seat in told.seats}
            self._links.close_except(kept)
        return told.contact_ms < FRESH_CONTACT_MS

    def _document(self, routes: RoutesRecord) -> RouteDocument | None:
        if not routes.source:
            return None
        parsed = self._format.parse(zlib.decompress(routes.source))
        if isinstance(parsed, Success):
            self._events.write('routes', version=routes.version)
            return parsed.unwrap()
        self._events.write('routes_bad', reason=parsed.failure().show())
        return None

    def _note_contact(self, member: MemberId, *, is_good: bool) -> None:
        if not is_good:
            self._avoid(member)
        shown = member if is_good else MemberId('')
        if shown != self._member and self._task:
            self._member = shown
            self._events.write('core_contact', member=shown, asked=member)

    def _avoid(self, member: MemberId) -> None:
        until = self._clock.now() + AVOID_SECONDS
        self._avoid_until_by_member[member] = until

    def _ranked(self) -> list[MemberId]:
        """Return the members, near ones that did not fail just now first."""
        now = self._clock.now()
        avoid = self._avoid_until_by_member
        return sorted(
            self._members(),
            key=lambda member: (
                avoid.get(member, 0) > now,
                avoid.get(member, 0) if avoid.get(member, 0) > now else 0,
                self._distance(member),
                member,
            ),
        )

    def _members(self) -> Iterable[MemberId]:
        seats = [seat.member for seat in self._seats]
        avoid = self._avoid_until_by_member
        now = self._clock.now()
        is_lost = all(avoid.get(member, 0) > now for member in seats)
        contacts = self._process.settings.contacts if is_lost else ()
        return dict.fromkeys((*seats, *map(MemberId, contacts)))

    def _distance(self, member: MemberId) -> int:
        settings = self._process.settings
        domain = next(
            (seat.domain for seat in self._seats if seat.member == member),
            DomainId(''),
        )
        is_own_machine = _host(member) == _host(settings.listening.peers)
        if domain == settings.domain or is_own_machine:
            return 0
        region = settings.region_by_domain.get(domain, RegionId(''))
        return 1 if region == settings.region else 2


async def _first_good(
    member_by_task: dict[asyncio.Task[bool], MemberId],
    patience: float | None,
) -> MemberId | None:
    """Return a member whose answer was good; drop those that failed.

    Returns as soon as any of them has answered, at the latest after
    ``patience`` seconds.
    """
    done, _ = await asyncio.wait(
        member_by_task,
        timeout=patience,
        return_when=asyncio.FIRST_COMPLETED,
    )
    answered = [(member_by_task.pop(task), task.result()) for task in done]
    return next((member for member, is_good in answered if is_good), None)


def _host(address: str) -> str:
    return address.rpartition(':')[0]

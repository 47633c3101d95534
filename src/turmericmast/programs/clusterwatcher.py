"""Watches the cluster through a near core member with quorum contact."""

import asyncio
import contextlib
import zlib
from collections.abc import Callable
from types import TracebackType
from typing import TYPE_CHECKING, Self, final

from returns.result import Success

from turmericmast.clock import Clock
from turmericmast.cluster.crashes import ReportCrash
from turmericmast.edge.edge import Edge
from turmericmast.edge.memberranking import MemberRanking
from turmericmast.edge.nearmember import ASK_INTERVAL, NearMemberSearch
from turmericmast.events import EventLog
from turmericmast.ids import MemberId, Seconds
from turmericmast.instancesettings import InstanceSettings
from turmericmast.route.document import RouteDocument, RouteFormat
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.wire.feedpacking import unpack_feed
from turmericmast.wire.linkpool import LinkPool
from turmericmast.wire.watchrequests import (
    AskMember,
    PackedCluster,
    TellIndex,
    TellMember,
    WatchCluster,
    WatchedCluster,
)

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process

REQUEST_TIMEOUT = 1.0
"""Seconds without an answer after which a member counts as failed.

Two members can be tried within the contact window of 3 s."""
MAX_CONTACT_AGE_MS = 1200
"""Milliseconds without contact to a quorum that make an answer stale."""
DEPRIORITIZE_SECONDS = 1.5
"""Seconds for which a failed member is tried only after all others."""
RETRY_INTERVAL = 0.1
"""Seconds until all members are tried again after none gave a good answer."""
HEDGE_DELAY = 0.1
"""Seconds without an answer after which the next member is asked as well.

Several round trips between regions. A member that is suspended or has no
power does not refuse connections, and must not delay a start by a whole
timeout."""

STALE_PATIENCE = 0.06
"""Seconds for which an edge without a view waits for a current answer.

Three round trips between regions. A member that has just restarted does not
know its last commits, such as targets that left."""
STALE_HEDGE_DELAY = 0.02
"""Like ``HEDGE_DELAY``, in seconds, once a member gave a stale answer."""


@final
class ClusterWatcher:
    """Keeps an edge's view of the cluster up to date by long polling.

    Prefers near members, and returns to them as soon as they work again.
    """

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        edge: Edge,
        route_format: RouteFormat,
        links: LinkPool,
    ) -> None:
        """Begin with the contacts in the settings as the only known members."""
        self.on_routes: Callable[[], None] = _do_nothing
        """Called when routes were applied."""
        self.grants_tokens = False
        """Whether a member has told that it answers ``AskTokens``.

        It stays so: other members may not have been restarted yet."""
        self._clock: Clock = process.clock
        self._events: EventLog = process.events
        self._process = process
        self._edge = edge
        self._route_format = route_format
        self._ranking = MemberRanking()
        self._links = links
        links.on_late_answer = self._use_answer
        self._near_member_search = NearMemberSearch(
            process.clock.now(),
            is_first_start=process.settings.is_first_start,
        )
        self._task: asyncio.Task[None] | None = None
        self._contacted_member = MemberId('')
        self._stale: tuple[WatchedCluster, MemberId] | None = None
        """The newest stale answer and its member; a current one may come."""
        self._stale_timer: asyncio.TimerHandle | None = None
        self._lacks_routes = False
        """Whether the newest routes could not be read."""

    def __enter__(self) -> Self:
        """Begin to watch the cluster."""
        self._task = asyncio.ensure_future(self._run())
        self._task.add_done_callback(self._log_failure)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop watching, and close all links."""
        if self._task:
            self._task.cancel()
            self._task = None
        if self._stale_timer:
            self._stale_timer.cancel()
        self._links.close_except(())

    def members(self) -> list[MemberId]:
        """Return the known members, preferred ones first."""
        return self._ranking.order(self._process.settings, self._clock.now())

    async def report_crash(self, crash: ReportCrash) -> bool:
        """Report a crash to the core; return whether it was committed."""
        if not self._contacted_member:
            return False
        link = self._links.to(self._contacted_member)
        answer = await link.request(crash, REQUEST_TIMEOUT)
        return isinstance(answer.value_or(None), TellIndex)

    async def watch_next(self, member: MemberId | None) -> MemberId | None:
        """Send one watch request; return the member for the next one.

        Asks ``member`` if it is still the preferred one, else searches. Returns
        ``None`` if no member gave a good answer.
        """
        if self._near_member_search.is_on(self._clock.now()):
            return await self._find_near_member()
        is_preferred = member is not None and member == self.members()[0]
        if member and is_preferred and await self._watch(member):
            return member
        return await self.find_member()

    async def find_member(self) -> MemberId | None:
        """Return the first member that gives a good answer, or ``None``.

        Preferred members are asked first. The requests are hedged: after
        ``HEDGE_DELAY`` without an answer, the next member is asked as well.
        Members that have not answered when it returns are deprioritized.
        """
        member_by_task: dict[asyncio.Task[bool], MemberId] = {}
        good_member: MemberId | None = None
        with contextlib.ExitStack() as stack:
            for member in self.members():
                task = asyncio.ensure_future(self._watch(member))
                stack.callback(task.cancel)
                member_by_task[task] = member
                good_member = await _first_good_answer(
                    member_by_task,
                    STALE_HEDGE_DELAY if self._stale else HEDGE_DELAY,
                )
                if good_member:
                    break
            while member_by_task and good_member is None:
                good_member = await _first_good_answer(member_by_task, None)
        for unanswered in member_by_task.values():
            self._deprioritize(unanswered)
        return good_member

    async def _find_near_member(self) -> MemberId | None:
        """Watch the member in the own failure domain if it has joined.

        Other members are only asked for it.
        """
        asked = self.members()[0]
        answer = await self._links.to(asked).request(
            AskMember(self._process.settings.domain), REQUEST_TIMEOUT
        )
        told = answer.value_or(None)
        if not isinstance(told, TellMember):
            self._deprioritize(asked)
        elif told.member and await self._watch(told.member):
            self._near_member_search.end()
            return told.member
        await asyncio.sleep(ASK_INTERVAL)
        return None

    def _log_failure(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error:
            self._events.write('watching_ended', error=repr(error))

    async def _run(self) -> None:
        member: MemberId | None = None
        while True:
            member = await self._watch_safely(member)
            if member is None:
                await asyncio.sleep(RETRY_INTERVAL)

    async def _watch_safely(self, member: MemberId | None) -> MemberId | None:
        """Do what ``watch_next`` does; ``None`` after an unexpected error.

        One answer that cannot be handled must not end the watching.
        """
        try:
            return await self.watch_next(member)
        except Exception as error:
            self._events.write('watch_failed', error=repr(error), member=member)
            return None

    async def _watch(self, member: MemberId) -> bool:
        """Send a watch request; return whether the answer was good.

        It is good if it is applied and comes from a member with recent contact
        to a quorum.
        """
        gates = self._edge.gates
        answer = await self._links.to(member).request(
            WatchCluster(
                self._edge.record,
                self._edge.index,
                packed=True,
                evidence=gates.counts() if gates else (),
                asked_ms=self._proof_request(),
            ),
            REQUEST_TIMEOUT,
        )
        is_good = self._use_answer(member, answer.value_or(None))
        self._record_contact(member, is_good=is_good)
        return is_good

    def _use_answer(self, member: MemberId, answer: object) -> bool:
        """Apply the answer of a member; tell whether it was good.

        Late answers are applied, too: an edge whose link is full gets no
        others.
        """
        watched = _unpack(answer, self._events)
        if isinstance(answer, PackedCluster) and answer.grants_tokens:
            self.grants_tokens = True
        return isinstance(watched, WatchedCluster) and self._apply_answer(
            watched, member
        )

    def _apply_answer(self, watched: WatchedCluster, member: MemberId) -> bool:
        if not self._edge.accepts(watched.feed):
            return False
        is_current = watched.contact_ms < MAX_CONTACT_AGE_MS
        if is_current or self._edge.index > 0:
            self._apply(watched, member)
            self._record_proof(watched)
        else:
            self._keep_stale(watched, member)
        return is_current

    def _record_proof(self, watched: WatchedCluster) -> None:
        """Take the proof of an answer that has been applied.

        The answer names when it was asked for, so that a late one proves no
        more than it does. Routes that cannot be read here may revoke keys.
        """
        proof_ms, asked_ms = watched.proof_ms, watched.asked_ms
        if proof_ms is None or asked_ms is None or self._lacks_routes:
            return
        self._edge.key_fence.freshness.record_proof(
            Seconds(asked_ms / MILLIS_PER_SECOND),
            Seconds(proof_ms / MILLIS_PER_SECOND),
            self._clock.now(),
        )

    def _proof_request(self) -> int | None:
        """Return the time in milliseconds that a poll carries for its proof.

        ``None`` if no proof is wanted.
        """
        if not self._edge.key_fence.freshness.is_wanted:
            return None
        return int(self._clock.now() * MILLIS_PER_SECOND)

    def _keep_stale(self, watched: WatchedCluster, member: MemberId) -> None:
        if self._stale is None:
            self._stale_timer = asyncio.get_running_loop().call_later(
                STALE_PATIENCE, self._apply_stale
            )
            self._stale = (watched, member)
        elif watched.feed.index > self._stale[0].feed.index:
            self._stale = (watched, member)

    def _apply_stale(self) -> None:
        """Use the newest stale answer, unless a current one has come."""
        stale = self._stale
        self._stale = None
        if stale and self._edge.index == 0:
            self._apply(*stale)

    def _apply(self, watched: WatchedCluster, member: MemberId) -> None:
        feed = watched.feed
        # Several members answer a start, mostly with the same state.
        if feed.index > self._edge.index or not self._edge.index:
            document = self._parse_routes(watched, member)
            if feed.routes and feed.routes.source:
                self._lacks_routes = document is None
            self._edge.apply(feed, document)
            self._edge.crash_doubts.settle(feed.targets, self._clock.now())
            if document:
                self.on_routes()
        if watched.seats:
            self._ranking.seats = watched.seats
            members = {seat.member for seat in watched.seats}
            self._links.close_except(members)

    def _parse_routes(
        self, watched: WatchedCluster, member: MemberId
    ) -> RouteDocument | None:
        """Return the routes that ``member`` sent, if they can be used."""
        routes = watched.feed.routes
        if routes is None or not routes.source:
            return None
        try:
            source = zlib.decompress(routes.source)
        except zlib.error as error:
            self._events.write('routes_bad', reason=str(error), member=member)
            return None
        parsed = self._route_format.parse(source)
        if not isinstance(parsed, Success):
            reason = parsed.failure().show()
            self._events.write('routes_bad', reason=reason, member=member)
            return None
        self._events.write(
            'routes',
            version=routes.version,
            digest=routes.digest,
            member=member,
            index=watched.feed.index,
            contact_ms=watched.contact_ms,
        )
        return parsed.unwrap()

    def _record_contact(self, member: MemberId, *, is_good: bool) -> None:
        if not is_good:
            self._deprioritize(member)
        contacted_member = member if is_good else MemberId('')
        if contacted_member != self._contacted_member and self._task:
            self._contacted_member = contacted_member
            self._events.write(
                'core_contact', member=contacted_member, asked=member
            )

    def _deprioritize(self, member: MemberId) -> None:
        now = self._clock.now()
        self._ranking.deprioritize(member, now + DEPRIORITIZE_SECONDS)


async def _first_good_answer(
    member_by_task: dict[asyncio.Task[bool], MemberId],
    timeout: float | None,
) -> MemberId | None:
    """Return a member whose answer was good, ``None`` if there is none yet.

    Waits until a request is finished, at most ``timeout`` seconds, and removes
    finished requests from ``member_by_task``.
    """
    done, _ = await asyncio.wait(
        member_by_task,
        timeout=timeout,
        return_when=asyncio.FIRST_COMPLETED,
    )
    answered = [(member_by_task.pop(task), task.result()) for task in done]
    return next((member for member, is_good in answered if is_good), None)


def _unpack(answer: object, events: EventLog) -> object:
    """Return a packed answer as the plain one; ``None`` if unreadable."""
    if not isinstance(answer, PackedCluster):
        return answer
    feed = unpack_feed(answer.feed)
    if isinstance(feed, Success):
        return WatchedCluster(
            feed.unwrap(),
            answer.seats,
            answer.contact_ms,
            answer.proof_ms,
            answer.asked_ms,
        )
    events.write('feed_bad', reason=feed.failure().show())
    return None


def _do_nothing() -> None:
    """Do nothing; the default until a callback is set."""

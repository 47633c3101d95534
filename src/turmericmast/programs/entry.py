"""``turmericmast-entry``: an entry instance between callers and targets."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import final

from absl import flags
from returns.result import Success
from tornado.httpserver import HTTPServer
from tornado.ioloop import PeriodicCallback

from turmericmast.entry.entry import Entry
from turmericmast.ids import Seconds
from turmericmast.programs.runner import Process, run_program
from turmericmast.region.commands import (
    CloseSession,
    LeaveSession,
    ReleaseTarget,
)
from turmericmast.service.policy import POLICIES
from turmericmast.session.renewals import RENEW_INTERVAL
from turmericmast.settings import load_settings
from turmericmast.target.target import Target
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.announcementhandler import AnnouncementHandler
from turmericmast.web.curl import CurlClient
from turmericmast.web.entrycontext import EntryContext, GroupClients
from turmericmast.web.frontend import Frontend
from turmericmast.wire.client import GroupClient
from turmericmast.wire.requests import Granted, Renew, Watch

POLICY = flags.DEFINE_enum(
    'policy',
    POLICIES[0],
    POLICIES,
    'How to choose targets; all but the first are there to compare with.',
)

RENEW_TIMEOUT = 1.0
WATCH_TIMEOUT = 25.0
SWEEP_MS = 250
"""Time between two looks at what no event announces, such as silence."""
CHANGE_TIMEOUT = 2.0
STOP_PAUSE = 0.05
RELEASE_TIMEOUT = 20.0
"""Seconds in which targets should be free to go to other owners."""
DRAIN_TIMEOUT = 600.0
"""Seconds in which calls in flight end by their own deadlines."""
MAX_HEADER_BYTES = 65_536
BODY_TIMEOUT = 60.0
"""Seconds in which a request body must have arrived."""
MAX_BODY_BYTES = 68_719_476_736
"""Above every limit of the fleet document, which decides."""


@final
class Keepalive:
    """Keeps the session of an entry, and its view of the region."""

    def __init__(self, process: Process, context: EntryContext) -> None:
        """Start without a session."""
        self._process = process
        self._context = context
        self._incarnation = process.incarnation
        self._releasing: set[str] = set()
        self._had_lease = False

    async def run(self) -> None:
        """Renew until cancelled; at once when there was news."""
        while True:
            has_news = await self.renew()
            if not has_news:
                await asyncio.sleep(RENEW_INTERVAL)

    async def watch(self) -> None:
        """Renew whenever the control group has something new."""
        while True:
            entry = self._context.entry
            answer = await self._context.clients.control.request_once(
                Watch(entry.instance, entry.view.index),
                WATCH_TIMEOUT,
            )
            if isinstance(answer, Success):
                while await self.renew():
                    """Tell the group that the news has arrived."""
            else:
                await asyncio.sleep(RENEW_INTERVAL)

    async def renew(self) -> bool:
        """Renew once; tell whether anything was new."""
        settings = self._process.settings
        entry = self._context.entry
        clock = self._process.clock
        sent_at = clock.now()
        answer = await self._context.clients.control.request_once(
            Renew(
                entry.instance,
                self._incarnation,
                entry.lease.epoch,
                settings.domain,
                settings.http,
                entry.view.index,
                entry.version,
            ),
            RENEW_TIMEOUT,
        )
        has_news = isinstance(answer, Success) and self._take(
            answer.unwrap(),
            sent_at,
        )
        self._show_lease()
        return has_news

    def release(self) -> None:
        """Give targets to their new owners once nothing is in flight."""
        for target in self._context.entry.ownership.releasable_targets():
            name = target.spec.target
            if name not in self._releasing:
                self._releasing.add(name)
                asyncio.ensure_future(self._release(target))

    async def leave(self) -> None:
        """Give up everything in order: addresses, targets, session."""
        entry = self._context.entry
        entry.is_leaving = True
        self._process.events.write('leaving', epoch=entry.lease.epoch)
        await self._context.change_region(
            LeaveSession(entry.instance, entry.lease.epoch),
            CHANGE_TIMEOUT,
        )
        ttl = entry.document.defaults.address_ttl_ms / MILLIS_PER_SECOND
        clock = self._process.clock
        keeps_until = clock.now() + ttl + RENEW_INTERVAL
        gives_up_at = clock.now() + RELEASE_TIMEOUT
        while clock.now() < gives_up_at:
            has_targets = any(entry.ownership.targets())
            if not has_targets and clock.now() > keeps_until:
                break
            await asyncio.sleep(STOP_PAUSE)

    async def close(self) -> None:
        """End the session."""
        entry = self._context.entry
        await self._context.change_region(
            CloseSession(
                entry.instance,
                entry.lease.epoch,
                clean=not any(entry.ownership.targets()),
            ),
            CHANGE_TIMEOUT,
        )
        entry.lease.drop()

    def _take(self, granted: object, sent_at: Seconds) -> bool:
        if not isinstance(granted, Granted):
            return False
        entry = self._context.entry
        before = entry.view.index
        version = entry.version
        entry.renew(
            granted.epoch,
            granted.feed,
            sent_at,
            granted.length_ms / MILLIS_PER_SECOND,
            self._process.clock.now(),
        )
        if granted.feed.fleet and entry.version != version:
            self._process.events.write(
                'fleet_in_force',
                version=entry.version,
                digest=granted.feed.fleet.digest,
            )
        self._context.dispatch_all()
        self.release()
        return entry.view.index != before

    async def _release(self, target: Target) -> None:
        entry = self._context.entry
        # The answer may be lost; the view tells whether it was done.
        await self._context.change_region(
            ReleaseTarget(target.spec.target, entry.instance),
            CHANGE_TIMEOUT,
        )
        self._releasing.discard(target.spec.target)

    def _show_lease(self) -> None:
        has_lease = self._context.entry.lease.is_valid(
            self._process.clock.now()
        )
        if has_lease != self._had_lease:
            self._had_lease = has_lease
            kind = 'lease_granted' if has_lease else 'lease_lost'
            self._process.events.write(
                kind, epoch=self._context.entry.lease.epoch
            )


def _open_clients(
    process: Process,
    stack: contextlib.ExitStack,
) -> GroupClients:
    settings = process.settings
    control = GroupClient(
        process.node,
        process.clock,
        {
            one.member: one.peer
            for one in settings.own_region.control
            if not one.witness
        },
    )
    ledger_by_region = {
        region: GroupClient(
            process.node,
            process.clock,
            {one.member: one.peer for one in known.ledger if not one.witness},
        )
        for region, known in settings.region_by_id.items()
    }
    stack.enter_context(control)
    for client in ledger_by_region.values():
        stack.enter_context(client)
    return GroupClients(control, ledger_by_region, settings.ordering_region)


def _make_context(
    process: Process, stack: contextlib.ExitStack
) -> EntryContext:
    settings = process.settings
    entry = Entry(
        settings.region,
        settings.domain,
        settings.instance,
        random.Random(),  # noqa: S311
        POLICY.value,
    )
    context = EntryContext(
        entry,
        stack.enter_context(CurlClient()),
        _open_clients(process, stack),
        process.clock,
        process.metrics,
        process.events,
    )
    process.metrics.gauge('calls_running', lambda: context.running)
    process.metrics.gauge(
        'calls_waiting',
        lambda: sum(
            len(service.backlog)
            for service in entry.ownership.service_by_id.values()
        ),
    )
    return context


def _listen(process: Process, frontend: Frontend) -> HTTPServer:
    server = HTTPServer(
        frontend,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_BODY_BYTES,
        body_timeout=BODY_TIMEOUT,
    )
    host, _, port = process.settings.http.rpartition(':')
    server.listen(int(port), host.strip('[]'), backlog=1024)
    return server


async def _main(process: Process, stack: contextlib.ExitStack) -> None:
    context = _make_context(process, stack)
    announcements = AnnouncementHandler(context)
    frontend = Frontend(context, announcements)
    server = _listen(process, frontend)
    keepalive = Keepalive(process, context)
    context.on_releasable = keepalive.release
    loops = [
        asyncio.ensure_future(keepalive.run()),
        asyncio.ensure_future(keepalive.watch()),
    ]
    for callback in (
        context.dispatch_all,
        keepalive.release,
        announcements.withdraw_expired,
        frontend.close_idle,
    ):
        _tick(stack, callback)
    await process.stop.wait()
    await keepalive.leave()
    server.stop()
    await _drain(process, context)
    await keepalive.close()
    await server.close_all_connections()
    for loop in loops:
        loop.cancel()


def _tick(stack: contextlib.ExitStack, callback: Callable[[], None]) -> None:
    ticker = PeriodicCallback(callback, SWEEP_MS)
    ticker.start()
    stack.callback(ticker.stop)


async def _drain(process: Process, context: EntryContext) -> None:
    until = process.clock.now() + DRAIN_TIMEOUT
    while context.running and process.clock.now() < until:
        await asyncio.sleep(STOP_PAUSE)


def main() -> None:
    """Run the program."""
    run_program(_main, load_settings)

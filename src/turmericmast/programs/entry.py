"""``turmericmast-entry``: accepts calls over HTTP and sends them to targets.

The program also keeps the session of its instance in the control group.
"""

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
from turmericmast.ids import Seconds, TargetId
from turmericmast.programs.calldrain import CallDrain
from turmericmast.programs.runner import Process, run_program
from turmericmast.region.commands import (
    CloseSession,
    LeaveSession,
    ReleaseTarget,
)
from turmericmast.service.policy import POLICIES
from turmericmast.session.renewals import RENEW_INTERVAL
from turmericmast.settings import load_settings
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
    'How targets are chosen; all but the first exist for comparison only.',
)

RENEW_TIMEOUT = 1.0
"""Seconds to wait for the answer to a renewal."""
WATCH_TIMEOUT = 25.0
"""Seconds to wait for the answer to a watch.

Longer than the 20 s after which the control group answers without a change.
"""
CHECK_INTERVAL_MS = 250
"""Milliseconds between two checks for what only the passing of time causes.

Examples are expired announcements and idle connections.
"""
COMMIT_TIMEOUT = 2.0
"""Seconds to wait until the control group has committed a command."""
STOP_POLL_INTERVAL = 0.05
"""Seconds between two checks whether a step of the shutdown is complete."""
RELEASE_TIMEOUT = 20.0
"""Seconds that a leaving entry waits at most to hand over its targets."""
CLOSE_TIMEOUT = 2.0
"""Seconds to wait at most for requests that have arrived in part."""
MAX_HEADER_BYTES = 65_536
"""Largest head of a request, in bytes."""
BODY_TIMEOUT = 60.0
"""Seconds within which a request body must arrive."""
MAX_BODY_BYTES = 68_719_476_736
"""Largest request body, in bytes.

Exceeds every limit of the fleet document, which is checked separately.
"""


@final
class EntrySession:
    """Keeps the session of an entry open and its view of the region current."""

    def __init__(self, process: Process, context: EntryContext) -> None:
        """Start without a session; the first renewal opens one."""
        self._process = process
        self._context = context
        self._incarnation = process.incarnation
        self._releasing_targets: set[str] = set()
        self._logged_lease = False

    async def renew_periodically(self) -> None:
        """Renew until cancelled, again at once after each change."""
        while True:
            has_changes = await self.renew()
            if not has_changes:
                await asyncio.sleep(RENEW_INTERVAL)

    async def watch_changes(self) -> None:
        """Renew whenever the control group reports a change."""
        while True:
            entry = self._context.entry
            answer = await self._context.clients.control.request_once(
                Watch(entry.instance, entry.view.index),
                WATCH_TIMEOUT,
            )
            if isinstance(answer, Success):
                while await self.renew():
                    """The next renewal reports the index that was reached."""
            else:
                await asyncio.sleep(RENEW_INTERVAL)

    async def renew(self) -> bool:
        """Renew the session; return whether the view of the region changed."""
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
        has_changes = isinstance(answer, Success) and self._apply_answer(
            answer.unwrap(),
            sent_at,
        )
        self._log_lease_change()
        return has_changes

    def release_idle_targets(self) -> None:
        """Hand over targets with a new owner that have no calls in flight."""
        for target in self._context.entry.ownership.releasable_targets():
            name = target.spec.target
            if name not in self._releasing_targets:
                self._releasing_targets.add(name)
                asyncio.ensure_future(self._release_target(name))

    async def leave(self) -> None:
        """Stop receiving new callers, and hand over all targets.

        The region no longer gives out the address of a leaving entry. Waits
        until addresses that callers hold have expired and all targets have new
        owners, but at most ``RELEASE_TIMEOUT``.
        """
        entry = self._context.entry
        entry.is_leaving = True
        self._process.events.write('leaving', epoch=entry.lease.epoch)
        await self._context.change_region(
            LeaveSession(entry.instance, entry.lease.epoch),
            COMMIT_TIMEOUT,
        )
        address_ttl = entry.document.defaults.address_ttl_ms / MILLIS_PER_SECOND
        clock = self._process.clock
        addresses_expire_at = clock.now() + address_ttl + RENEW_INTERVAL
        deadline = clock.now() + RELEASE_TIMEOUT
        while clock.now() < deadline:
            has_targets = any(entry.ownership.targets())
            if not has_targets and clock.now() > addresses_expire_at:
                break
            await asyncio.sleep(STOP_POLL_INTERVAL)

    async def close(self) -> None:
        """Close the session and end the lease.

        The closure is clean if no target is left. Otherwise the next owners
        must expect that requests of this entry are still running.
        """
        entry = self._context.entry
        await self._context.change_region(
            CloseSession(
                entry.instance,
                entry.lease.epoch,
                clean=not any(entry.ownership.targets()),
            ),
            COMMIT_TIMEOUT,
        )
        entry.lease.drop()

    def _apply_answer(self, answer: object, sent_at: Seconds) -> bool:
        if not isinstance(answer, Granted):
            return False
        entry = self._context.entry
        previous_index = entry.view.index
        previous_version = entry.version
        entry.renew(
            answer.epoch,
            answer.feed,
            sent_at,
            answer.length_ms / MILLIS_PER_SECOND,
            self._process.clock.now(),
        )
        if answer.feed.fleet and entry.version != previous_version:
            self._process.events.write(
                'fleet_in_force',
                version=entry.version,
                digest=answer.feed.fleet.digest,
            )
        self._context.dispatch_all()
        self.release_idle_targets()
        return entry.view.index != previous_index

    async def _release_target(self, target: TargetId) -> None:
        entry = self._context.entry
        # The answer is ignored, since it may be lost: if the view still lists
        # the target after the release, the release is sent again.
        await self._context.change_region(
            ReleaseTarget(target, entry.instance),
            COMMIT_TIMEOUT,
        )
        self._releasing_targets.discard(target)

    def _log_lease_change(self) -> None:
        has_lease = self._context.entry.lease.is_valid(
            self._process.clock.now()
        )
        if has_lease != self._logged_lease:
            self._logged_lease = has_lease
            event = 'lease_granted' if has_lease else 'lease_lost'
            self._process.events.write(
                event, epoch=self._context.entry.lease.epoch
            )


def _open_clients(
    process: Process,
    stack: contextlib.ExitStack,
) -> GroupClients:
    settings = process.settings
    control = GroupClient(
        process.context,
        process.clock,
        {
            member_settings.member: member_settings.peer
            for member_settings in settings.own_region.control
            if not member_settings.witness
        },
    )
    ledger_by_region = {
        region: GroupClient(
            process.context,
            process.clock,
            {
                member_settings.member: member_settings.peer
                for member_settings in region_settings.ledger
                if not member_settings.witness
            },
        )
        for region, region_settings in settings.region_by_id.items()
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
        stack.enter_context(CurlClient(metrics=process.metrics)),
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


def _serve_http(process: Process, frontend: Frontend) -> HTTPServer:
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
    announcement_handler = AnnouncementHandler(context)
    frontend = Frontend(context, announcement_handler)
    server = _serve_http(process, frontend)
    session = EntrySession(process, context)
    context.on_releasable = session.release_idle_targets
    renewal_tasks = [
        asyncio.ensure_future(session.renew_periodically()),
        asyncio.ensure_future(session.watch_changes()),
    ]
    for callback in (
        context.dispatch_all,
        session.release_idle_targets,
        announcement_handler.withdraw_expired,
        frontend.close_idle,
    ):
        _call_periodically(stack, callback)
    await process.stop.wait()
    await session.leave()
    await CallDrain(context, frontend).run(server)
    await session.close()
    await frontend.idle_connections.drain(
        Seconds(process.clock.now() + CLOSE_TIMEOUT)
    )
    await server.close_all_connections()
    for task in renewal_tasks:
        task.cancel()


def _call_periodically(
    stack: contextlib.ExitStack, callback: Callable[[], None]
) -> None:
    ticker = PeriodicCallback(callback, CHECK_INTERVAL_MS)
    ticker.start()
    stack.callback(ticker.stop)


def main() -> None:
    """Run an entry instance until it is stopped by a signal."""
    run_program(_main, load_settings)

"""``turmericmast-control``: a member of a region's control group."""

import asyncio
import contextlib
from typing import Any, final

from returns.result import Result, Success
from tornado.ioloop import PeriodicCallback

from turmericmast.exceptions import TurmericmastError
from turmericmast.ids import Index, InstanceId
from turmericmast.programs.groupmember import GroupMember, StateMachine
from turmericmast.programs.groupsetup import (
    LEADERSHIP_TRANSFER_TIMEOUT,
    error_reply,
    find_group,
    flatten_result,
    open_group_member,
    serve_group,
)
from turmericmast.programs.operatorapi import make_application
from turmericmast.programs.regionexchange import RegionExchange
from turmericmast.programs.runner import Process, run_program
from turmericmast.region import commands
from turmericmast.region.records import Placement, Session, Suspicion
from turmericmast.region.region import Region
from turmericmast.region.snapshot import restore_region, take_snapshot
from turmericmast.replica import messages
from turmericmast.session.renewals import LEASE_LENGTH, RenewalTracker
from turmericmast.settings import GroupKind, load_settings
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.wire import replies, requests
from turmericmast.wire.server import Handler

COMMIT_TIMEOUT = 1.5
"""Seconds to wait until a command is committed."""
IN_FORCE_TIMEOUT = 4.5
"""Seconds to wait until every entry has applied a change."""
WATCH_TIMEOUT = 20.0
"""Seconds after which a watch is answered even without a change."""
CHANGE_BATCH_INTERVAL = 0.05
"""Seconds that changes are collected before watches are answered.

Also the interval of checks whether every entry has applied a change.
"""
TICK_INTERVAL_MS = 250
"""Milliseconds between two checks for expired sessions."""
STALL_THRESHOLD = 1.5
"""Seconds between two ticks after which renewals may have been missed."""


@final
class RegionStateMachine(StateMachine):
    """Applies commands to the region, and wakes watchers after each one."""

    def __init__(self, region: Region) -> None:
        """Apply commands to ``region``, which is empty at first."""
        self.region = region
        self.changed = asyncio.Event()

    def apply(self, index: Index, command: Any) -> Any:
        """Apply a command and return its result."""
        answer = self.region.apply(index, command)
        self.changed.set()
        return answer

    def snapshot(self) -> Any:
        """Return a copy of the region's whole state."""
        return take_snapshot(self.region)

    def restore(self, state: Any) -> None:
        """Replace the region's whole state, and wake watchers."""
        self.region = restore_region(state, self.region)
        self.changed.set()


@final
class Control(Handler):
    """Handles messages from entries, other regions and the other members."""

    def __init__(
        self,
        process: Process,
        group: GroupMember,
        state_machine: RegionStateMachine,
    ) -> None:
        """Serve the region of ``state_machine``, replicated by ``group``."""
        self.process = process
        self.group = group
        self.state_machine = state_machine
        self.renewals = RenewalTracker()
        self._was_leading = False
        self._last_tick = process.clock.now()

    @property
    def region(self) -> Region:
        """Return the current state of the region."""
        return self.state_machine.region

    @property
    def instances(self) -> list[InstanceId]:
        """Return the entry instances that have a session."""
        return list(self.region.view.session_by_instance)

    async def handle(self, sender: str, body: Any) -> Any:
        """Handle one message; return the answer, ``None`` if it needs none."""
        if isinstance(body, messages.Message):
            self.group.receive(body)
            return None
        if not self.group.is_leader:
            return error_reply(self.group.not_leader_error())
        match body:
            case requests.Renew():
                return await self._serve_renewal(body)
            case requests.Watch():
                return await self._serve_watch(body)
            case requests.ChangeRegion():
                return await self._serve_change(body)
            case requests.Follow():
                return await self._serve_exchange(body)
        return replies.Refusal(
            'handle', f'message of unexpected type {type(body)}', ''
        )

    async def change(
        self,
        command: commands.RegionCommand,
    ) -> Result[Any, TurmericmastError]:
        """Commit a command and return the result of applying it."""
        answer = await self.group.propose(command, COMMIT_TIMEOUT)
        outcome: Result[Any, TurmericmastError] = flatten_result(answer)
        return outcome

    async def wait_until_in_force(self, index: int) -> bool:
        """Wait until every entry with a session has applied an index.

        Return false after ``IN_FORCE_TIMEOUT``, or if leadership is lost.
        """
        deadline = self.process.clock.now() + IN_FORCE_TIMEOUT
        while self.renewals.index_in_force(self.instances) < index:
            if self.process.clock.now() > deadline or not self.group.is_leader:
                return False
            await asyncio.sleep(CHANGE_BATCH_INTERVAL)
        return True

    def tick(self) -> None:
        """Close the sessions of entries that no longer renew.

        A new leader, and one whose process was stopped for a while, has missed
        renewals, so it first treats all sessions as just renewed.
        """
        now = self.process.clock.now()
        has_stalled = now - self._last_tick > STALL_THRESHOLD
        self._last_tick = now
        is_leader = self.group.is_leader
        if is_leader and (has_stalled or not self._was_leading):
            self.renewals.start_leadership(self.instances, now)
        self._was_leading = is_leader
        if is_leader:
            for instance in self.renewals.expired(self.instances, now):
                session = self.region.view.session_by_instance[instance]
                self.renewals.forget(instance)
                self.process.events.write('session_lost', entry=instance)
                asyncio.ensure_future(self._close_expired(session))

    async def _close_expired(self, session: Session) -> None:
        await self.change(
            commands.CloseSession(session.instance, session.epoch, clean=False),
        )

    async def _serve_renewal(self, renew: requests.Renew) -> Any:
        session = self.region.view.session_by_instance.get(renew.instance)
        if session is None or session.incarnation != renew.incarnation:
            answer = await self.change(
                commands.OpenSession(
                    renew.instance,
                    renew.incarnation,
                    renew.domain,
                    renew.http,
                ),
            )
            if not isinstance(answer, Success):
                return error_reply(answer.failure())
            session = answer.unwrap()
            self.process.events.write('session_open', entry=renew.instance)
        if not self.group.is_leader:
            return error_reply(self.group.not_leader_error())
        self.renewals.renew(
            renew.instance,
            renew.known,
            renew.in_force,
            self.process.clock.now(),
        )
        # An entry with a new session gets a complete feed.
        known_index = renew.known if renew.epoch == session.epoch else Index(0)
        return requests.Granted(
            session.epoch,
            int(LEASE_LENGTH * MILLIS_PER_SECOND),
            self.region.build_feed(known_index),
        )

    async def _serve_watch(self, watch: requests.Watch) -> Any:
        deadline = self.process.clock.now() + WATCH_TIMEOUT
        while self.region.view.index <= watch.known:
            time_left = deadline - self.process.clock.now()
            if time_left <= 0 or not self.group.is_leader:
                break
            await self._wait_for_change(time_left)
        return requests.Changed()

    async def _wait_for_change(self, timeout: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wait_for_batch(), timeout)

    async def _wait_for_batch(self) -> None:
        await self.state_machine.changed.wait()
        await asyncio.sleep(CHANGE_BATCH_INTERVAL)
        self.state_machine.changed.clear()

    async def _serve_change(self, change: requests.ChangeRegion) -> Any:
        answer = await self.change(change.command)
        if not isinstance(answer, Success):
            return error_reply(answer.failure())
        record = answer.unwrap()
        is_quarantined = isinstance(record, Suspicion) and record.is_quarantined
        if change.in_force and is_quarantined:
            await self.wait_until_in_force(self.region.view.index)
        return requests.Changed(
            record if isinstance(record, Placement) else None,
            record if isinstance(record, Suspicion) else None,
        )

    async def _serve_exchange(self, follow: requests.Follow) -> Any:
        settings = self.process.settings
        if settings.ordering_region == self.region.region:
            known_version = self.region.fleet.in_force_by_region.get(
                follow.region, 0
            )
            if follow.in_force > known_version:
                await self.change(
                    commands.ReportRegion(follow.region, follow.in_force),
                )
        known_summary = self.region.view.summary_by_region.get(follow.region)
        if known_summary != follow.summary:
            await self.change(commands.NoteSummary(follow.summary))
        record = self.region.fleet_record()
        has_newer_version = record.version > follow.version
        is_newer = has_newer_version or record.accepted > follow.accepted
        return requests.Followed(
            self.region.view.summary(self.region.region),
            record if is_newer else None,
        )


async def _main(process: Process, stack: contextlib.ExitStack) -> None:
    settings = process.settings
    region_group = find_group(process, GroupKind.control)
    state_machine = RegionStateMachine(
        Region(region_group[0], settings.regions, settings.ordering_region),
    )
    group = open_group_member(process, stack, region_group, state_machine)
    control = Control(process, group, state_machine)
    serve_group(process, stack, control, make_application(control))
    group.start(
        {
            member_settings.member: member_settings.peer
            for member_settings in region_group[1]
        }
    )
    ticker = PeriodicCallback(control.tick, TICK_INTERVAL_MS)
    ticker.start()
    stack.callback(ticker.stop)
    region_exchange = stack.enter_context(RegionExchange(control))
    region_exchange.start()
    await process.stop.wait()
    await group.transfer_leadership(LEADERSHIP_TRANSFER_TIMEOUT)


def main() -> None:
    """Run a member of a control group until it is stopped by a signal."""
    run_program(_main, load_settings)

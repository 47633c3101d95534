"""``turmericmast-control``: a replica of a region's control group."""

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
from turmericmast.programs.regionexchange import Followers
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
IN_FORCE_TIMEOUT = 4.5
"""Seconds to wait until every entry has seen a change."""
WATCH_TIMEOUT = 20.0
"""Seconds after which a watch is answered although nothing changed."""
WATCH_PAUSE = 0.05
"""Seconds that changes are gathered before watchers are told."""
TICK_MS = 250
STALL = 1.5
"""Seconds between two ticks from which on renewals may have been missed."""


@final
class RegionMachine(StateMachine):
    """The region aggregate behind the replicated log."""

    def __init__(self, region: Region) -> None:
        """Start from an empty region."""
        self.region = region
        self.changed = asyncio.Event()

    def apply(self, index: Index, command: Any) -> Any:
        """Apply one command."""
        answer = self.region.apply(index, command)
        self.changed.set()
        return answer

    def snapshot(self) -> Any:
        """Return the whole region."""
        return take_snapshot(self.region)

    def restore(self, state: Any) -> None:
        """Replace the whole region."""
        self.region = restore_region(state, self.region)
        self.changed.set()


@final
class Control(Handler):
    """Answers entries, other regions and the other replicas."""

    def __init__(
        self,
        process: Process,
        group: GroupMember,
        machine: RegionMachine,
    ) -> None:
        """Serve what the machine holds."""
        self.process = process
        self.group = group
        self.machine = machine
        self.renewals = RenewalTracker()
        self._was_leading = False
        self._last_tick = process.clock.now()

    @property
    def region(self) -> Region:
        """Return the present state."""
        return self.machine.region

    @property
    def instances(self) -> list[InstanceId]:
        """Return the entries with a session."""
        return list(self.region.view.session_by_instance)

    async def handle(self, sender: str, body: Any) -> Any:
        """Answer one message."""
        if isinstance(body, messages.Message):
            self.group.receive(body)
            return None
        if not self.group.is_leader:
            return error_reply(self.group.not_leader_error())
        match body:
            case requests.Renew():
                return await self._renew(body)
            case requests.Watch():
                return await self._watch(body)
            case requests.ChangeRegion():
                return await self._change(body)
            case requests.Follow():
                return await self._follow(body)
        return replies.Refusal('handle', f'unexpected {type(body)}', '')

    async def change(
        self,
        command: commands.RegionCommand,
    ) -> Result[Any, TurmericmastError]:
        """Commit a command and return what came of it."""
        answer = await self.group.propose(command, COMMIT_TIMEOUT)
        outcome: Result[Any, TurmericmastError] = flatten_result(answer)
        return outcome

    async def wait_in_force(self, index: int) -> bool:
        """Wait until every entry with a session has seen an index."""
        deadline = self.process.clock.now() + IN_FORCE_TIMEOUT
        while self.renewals.index_in_force(self.instances) < index:
            if self.process.clock.now() > deadline or not self.group.is_leader:
                return False
            await asyncio.sleep(WATCH_PAUSE)
        return True

    def tick(self) -> None:
        """Expire sessions; a leader that was stopped starts over."""
        now = self.process.clock.now()
        has_stalled = now - self._last_tick > STALL
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
                asyncio.ensure_future(self._expire(session))

    async def _expire(self, session: Session) -> None:
        await self.change(
            commands.CloseSession(session.instance, session.epoch, clean=False),
        )

    async def _renew(self, renew: requests.Renew) -> Any:
        session = self.region.view.session_by_instance.get(renew.instance)
        if session is None or session.incarnation != renew.incarnation:
            opened = await self.change(
                commands.OpenSession(
                    renew.instance,
                    renew.incarnation,
                    renew.domain,
                    renew.http,
                ),
            )
            if not isinstance(opened, Success):
                return error_reply(opened.failure())
            session = opened.unwrap()
            self.process.events.write('session_open', entry=renew.instance)
        if not self.group.is_leader:
            return error_reply(self.group.not_leader_error())
        self.renewals.renew(
            renew.instance,
            renew.known,
            renew.in_force,
            self.process.clock.now(),
        )
        # A new session starts from complete tables.
        known = renew.known if renew.epoch == session.epoch else Index(0)
        return requests.Granted(
            session.epoch,
            int(LEASE_LENGTH * MILLIS_PER_SECOND),
            self.region.build_feed(known),
        )

    async def _watch(self, watch: requests.Watch) -> Any:
        deadline = self.process.clock.now() + WATCH_TIMEOUT
        while self.region.view.index <= watch.known:
            left = deadline - self.process.clock.now()
            if left <= 0 or not self.group.is_leader:
                break
            await self._wait_for_change(left)
        return requests.Changed()

    async def _wait_for_change(self, timeout: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._gather(), timeout)

    async def _gather(self) -> None:
        await self.machine.changed.wait()
        await asyncio.sleep(WATCH_PAUSE)
        self.machine.changed.clear()

    async def _change(self, change: requests.ChangeRegion) -> Any:
        answer = await self.change(change.command)
        if not isinstance(answer, Success):
            return error_reply(answer.failure())
        made = answer.unwrap()
        is_quarantined = isinstance(made, Suspicion) and made.is_quarantined
        if change.in_force and is_quarantined:
            await self.wait_in_force(self.region.view.index)
        return requests.Changed(
            made if isinstance(made, Placement) else None,
            made if isinstance(made, Suspicion) else None,
        )

    async def _follow(self, follow: requests.Follow) -> Any:
        settings = self.process.settings
        if settings.ordering_region == self.region.region:
            known = self.region.fleet.in_force_by_region.get(follow.region, 0)
            if follow.in_force > known:
                await self.change(
                    commands.ReportRegion(follow.region, follow.in_force),
                )
        noted = self.region.view.summary_by_region.get(follow.region)
        if noted != follow.summary:
            await self.change(commands.NoteSummary(follow.summary))
        record = self.region.fleet_record()
        is_newer = record.version > follow.version
        is_news = is_newer or record.accepted > follow.accepted
        return requests.Followed(
            self.region.view.summary(self.region.region),
            record if is_news else None,
        )


async def _main(process: Process, stack: contextlib.ExitStack) -> None:
    settings = process.settings
    found = find_group(process, GroupKind.control)
    machine = RegionMachine(
        Region(found[0], settings.regions, settings.ordering_region),
    )
    group = open_group_member(process, stack, found, machine)
    control = Control(process, group, machine)
    serve_group(process, stack, control, make_application(control))
    group.start({one.member: one.peer for one in found[1]})
    ticker = PeriodicCallback(control.tick, TICK_MS)
    ticker.start()
    stack.callback(ticker.stop)
    followers = stack.enter_context(Followers(control))
    followers.start()
    await process.stop.wait()
    await group.transfer_leadership(LEADERSHIP_TRANSFER_TIMEOUT)


def main() -> None:
    """Run the program."""
    run_program(_main, load_settings)

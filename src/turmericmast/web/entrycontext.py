"""State and clients that all calls of an entry process share."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import final

from returns.result import Result, Success
from tornado.ioloop import IOLoop

from turmericmast.call.call import CallRequest
from turmericmast.clock import Clock
from turmericmast.entry.entry import Entry
from turmericmast.events import EventLog
from turmericmast.exceptions import TurmericmastError
from turmericmast.ids import (
    CallId,
    Fingerprint,
    RegionId,
    Seconds,
    ServiceId,
    TargetId,
)
from turmericmast.ledger.commands import LedgerCommand
from turmericmast.ledger.ledger import Standing
from turmericmast.metrics import Metrics
from turmericmast.region.commands import Acquit, RegionCommand, Suspect
from turmericmast.region.records import Suspicion
from turmericmast.service.service import Dispatch
from turmericmast.target.target import Ending
from turmericmast.web.callecho import EchoingTargets
from turmericmast.web.curl import CurlClient
from turmericmast.web.framingreports import FramingReports
from turmericmast.wire.client import Group
from turmericmast.wire.requests import Changed, ChangeLedger, ChangeRegion

SUSPECT_TIMEOUT = 2.0
"""Seconds for reports on suspected requests.

A quarantine must be in force at every entry of the region in this time.
"""


@final
@dataclasses.dataclass(frozen=True)
class GroupClients:
    """Clients of the groups that an entry sends commands to."""

    control: Group
    ledger_by_region: Mapping[RegionId, Group]
    default_region: RegionId
    """Region whose ledger is used if the fleet values name none."""


@final
class EntryContext:
    """Grants slots of owned targets to queued calls and commits commands."""

    def __init__(
        self,
        entry: Entry,
        curl: CurlClient,
        clients: GroupClients,
        clock: Clock,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        """Connect the parts of one entry process."""
        self.entry = entry
        self.curl = curl
        self.clients = clients
        self.clock = clock
        self.metrics = metrics
        self.events = events
        self.on_releasable: Callable[[], None] = _do_nothing
        """Called when a target that moves to another owner may be idle now."""
        self.echoing_targets = EchoingTargets()
        self.framing = FramingReports(
            self._targets_at, curl.kept_connections, clock, metrics, events
        )
        self.running = 0
        """Number of calls that were accepted and have not ended."""
        self._timer_by_service: dict[ServiceId, object] = {}
        self._grant_by_call: dict[CallId, asyncio.Future[Dispatch | None]] = {}

    async def acquire_slot(
        self,
        request: CallRequest,
        avoid: TargetId,
    ) -> Dispatch | None:
        """Queue the call until it gets a slot of a target.

        Return ``None`` if the queue refuses the call, or if the call leaves
        the queue at its deadline or earlier. ``avoid`` is the target of the
        last attempt, empty if there was none.
        """
        now = self.clock.now()
        if not self.entry.admit(request, now, avoid):
            return None
        grant: asyncio.Future[Dispatch | None] = asyncio.Future()
        self._grant_by_call[request.call] = grant
        self.dispatch(request.service)
        if grant.done():
            return grant.result()
        timer = IOLoop.current().call_later(
            max(request.deadline - now, 0),
            self.leave_queue,
            request.service,
            request.call,
        )
        grant.add_done_callback(
            lambda _: IOLoop.current().remove_timeout(timer),
        )
        return await grant

    def leave_queue(self, service: ServiceId, call: CallId) -> None:
        """Remove a call from the queue; ``acquire_slot`` returns ``None``."""
        self.entry.remove_queued(service, call)
        grant = self._grant_by_call.pop(call, None)
        if grant and not grant.done():
            grant.set_result(None)

    def release_slot(
        self,
        dispatch: Dispatch,
        service: ServiceId,
        ending: Ending,
    ) -> None:
        """Free a slot and dispatch queued calls of the service."""
        self.entry.end(dispatch, service, ending, self.clock.now())
        self.metrics.count('attempts', ending=ending.value)
        self.dispatch(service)
        owned = self.entry.ownership.service_by_id.get(service)
        if owned and owned.has_moving:
            self.on_releasable()

    def dispatch(self, service: ServiceId) -> None:
        """Dispatch queued calls of one service to free slots."""
        for dispatch in self.entry.dispatch(service, self.clock.now()):
            grant = self._grant_by_call.pop(dispatch.call, None)
            if grant and not grant.done():
                grant.set_result(dispatch)
            else:
                self.entry.end(
                    dispatch,
                    service,
                    Ending.cancelled,
                    self.clock.now(),
                )
        self._schedule_dispatch(service)

    def dispatch_all(self) -> None:
        """Dispatch queued calls where the passing of time may have freed slots.

        Calls that cannot be served end without a slot; without a valid lease
        these are all queued calls.
        """
        now = self.clock.now()
        ownership = self.entry.ownership
        for name, service in ownership.service_by_id.items():
            if len(service.backlog):
                self.dispatch(name)
        unservable_calls = ownership.unservable_calls(now)
        if not self.entry.lease.is_valid(now):
            unservable_calls = ownership.queued_calls()
        for service_name, call in unservable_calls:
            self.leave_queue(service_name, call)

    def try_withdraw_retry(self, name: ServiceId) -> bool:
        """Try to withdraw a token from the retry budget of a service."""
        service = self.entry.ownership.service_by_id.get(name)
        return service is not None and service.budget.try_withdraw()

    def begin_call(self) -> Seconds:
        """Count a call as running; return its start time for ``end_call``."""
        self.running += 1
        return self.clock.now()

    def end_call(self, started: Seconds) -> None:
        """Count a call as ended and record its duration."""
        self.running -= 1
        self.metrics.record('call', self.clock.now() - started)

    async def change_ledger(
        self,
        region: RegionId,
        command: LedgerCommand,
        deadline: Seconds,
    ) -> Result[Standing, TurmericmastError]:
        """Commit a command in the ledger of ``region``."""
        client = self.clients.ledger_by_region[region]
        return await client.request(ChangeLedger(command), deadline)

    async def change_region(
        self,
        command: RegionCommand,
        timeout: float,
        *,
        in_force: bool = False,
    ) -> Result[Changed, TurmericmastError]:
        """Commit a command in the control group of the own region.

        With ``in_force``, a command that quarantines a request is answered
        only when the quarantine is in force at every entry. ``timeout`` is in
        seconds.
        """
        deadline = Seconds(self.clock.now() + timeout)
        return await self.clients.control.request(
            ChangeRegion(command, in_force),
            deadline,
            timeout,
        )

    async def report_crash(
        self,
        fingerprint: Fingerprint,
        started_ms: int,
    ) -> bool:
        """Report that a request lost its target; tell whether to refuse it.

        ``started_ms`` is the wall-clock time at which the attempt began.
        """
        answer = await self.change_region(
            Suspect(fingerprint, started_ms, self.clock.wall()),
            SUSPECT_TIMEOUT,
            in_force=True,
        )
        if not isinstance(answer, Success):
            # The crash may not have been counted, so a retry could crash more
            # targets than the quarantine permits.
            return True
        suspicion: Suspicion | None = answer.unwrap().suspicion
        return suspicion is not None and suspicion.is_quarantined

    async def acquit(self, fingerprint: Fingerprint) -> None:
        """Report that a suspected request was answered."""
        await self.change_region(Acquit(fingerprint), SUSPECT_TIMEOUT)

    def _targets_at(self, address: str) -> Iterable[TargetId]:
        return (
            target.spec.target
            for target in self.entry.ownership.targets()
            if target.spec.address == address
        )

    def _schedule_dispatch(self, name: ServiceId) -> None:
        """Dispatch again when the next pause of a target ends."""
        service = self.entry.ownership.service_by_id.get(name)
        now = self.clock.now()
        pause_end = service.next_pause_end(now) if service else None
        if pause_end is not None and name not in self._timer_by_service:
            self._timer_by_service[name] = IOLoop.current().call_later(
                pause_end - now,
                self._dispatch_after_pause,
                name,
            )

    def _dispatch_after_pause(self, name: ServiceId) -> None:
        self._timer_by_service.pop(name, None)
        self.dispatch(name)


def _do_nothing() -> None:
    """Ignore the event until a callback is set."""

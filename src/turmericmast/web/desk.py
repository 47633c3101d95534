"""What all calls of an entry process share: slots, clients, counters."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
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
from turmericmast.web.curl import Curl
from turmericmast.wire.client import Group
from turmericmast.wire.requests import Changed, ChangeLedger, ChangeRegion

SUSPECT_TIMEOUT = 2.0
"""Seconds to wait until a suspect request is known everywhere."""


@final
@dataclasses.dataclass(frozen=True)
class Clients:
    """The groups that an entry asks."""

    control: Group
    ledger_by_region: Mapping[RegionId, Group]
    default_region: RegionId
    """Region whose ledger keeps requests that no value places."""


@final
class Desk:
    """Hands out slots of owned targets to calls that wait for them."""

    def __init__(
        self,
        entry: Entry,
        curl: Curl,
        clients: Clients,
        clock: Clock,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        """Join the parts of one entry process."""
        self.entry = entry
        self.curl = curl
        self.clients = clients
        self.clock = clock
        self.metrics = metrics
        self.events = events
        self.on_idle_move: Callable[[], None] = _do_nothing
        """Called when a target that is to move may have fallen idle."""
        self.running = 0
        """Calls that were accepted and have not ended."""
        self._timer_by_service: dict[ServiceId, object] = {}
        self._grant_by_call: dict[CallId, asyncio.Future[Dispatch | None]] = {}

    async def slot(
        self,
        request: CallRequest,
        avoid: TargetId,
    ) -> Dispatch | None:
        """Wait for a slot; ``None`` when there will be none in time."""
        now = self.clock.now()
        if not self.entry.admit(request, now, avoid):
            return None
        grant: asyncio.Future[Dispatch | None] = asyncio.Future()
        self._grant_by_call[request.call] = grant
        self.pump(request.service)
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
        """Take a call out of the queue; its wait ends without a slot."""
        self.entry.withdraw(service, call)
        grant = self._grant_by_call.pop(call, None)
        if grant and not grant.done():
            grant.set_result(None)

    def release(
        self,
        dispatch: Dispatch,
        service: ServiceId,
        ending: Ending,
    ) -> None:
        """Give a slot back, to the next call that waits."""
        self.entry.end(dispatch, service, ending, self.clock.now())
        self.metrics.count('attempts', ending=ending.value)
        self.pump(service)
        owned = self.entry.ownership.service_by_id.get(service)
        if owned and owned.has_moving:
            self.on_idle_move()

    def pump(self, service: ServiceId) -> None:
        """Match waiting calls and free slots of one service."""
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
        self._wake_later(service)

    def pump_all(self) -> None:
        """Match again where time alone may have freed something."""
        now = self.clock.now()
        ownership = self.entry.ownership
        for name, service in ownership.service_by_id.items():
            if len(service.backlog):
                self.pump(name)
        stranded = ownership.unservable_calls(now)
        if not self.entry.lease.is_valid(now):
            stranded = ownership.queued_calls()
        for service_name, call in stranded:
            self.leave_queue(service_name, call)

    def spend_retry(self, name: ServiceId) -> bool:
        """Take a token of the retry budget of a service."""
        service = self.entry.ownership.service_by_id.get(name)
        return service is not None and service.budget.try_withdraw()

    def begin_call(self) -> Seconds:
        """Count a call and return when it began."""
        self.running += 1
        return self.clock.now()

    def end_call(self, started: Seconds) -> None:
        """Record a call that is over."""
        self.running -= 1
        self.metrics.record('call', self.clock.now() - started)

    async def change_ledger(
        self,
        region: RegionId,
        command: LedgerCommand,
        deadline: Seconds,
    ) -> Result[Standing, TurmericmastError]:
        """Commit a command in the ledger of a region."""
        client = self.clients.ledger_by_region[region]
        return await client.request(ChangeLedger(command), deadline)

    async def change_region(
        self,
        command: RegionCommand,
        timeout: float,
        *,
        in_force: bool = False,
    ) -> Result[Changed, TurmericmastError]:
        """Commit a command in the control group of the own region."""
        deadline = Seconds(self.clock.now() + timeout)
        return await self.clients.control.request(
            ChangeRegion(command, in_force),
            deadline,
            timeout,
        )

    async def suspect(
        self,
        fingerprint: Fingerprint,
        started_ms: int,
    ) -> bool:
        """Report a request that lost its target; tell if it is refused now."""
        answer = await self.change_region(
            Suspect(fingerprint, started_ms, self.clock.wall()),
            SUSPECT_TIMEOUT,
            in_force=True,
        )
        if not isinstance(answer, Success):
            # Without a count the request must not be tried again.
            return True
        suspicion: Suspicion | None = answer.unwrap().suspicion
        return suspicion is not None and suspicion.is_quarantined

    async def acquit(self, fingerprint: Fingerprint) -> None:
        """Report that a suspect request was answered after all."""
        await self.change_region(Acquit(fingerprint), SUSPECT_TIMEOUT)

    def _wake_later(self, name: ServiceId) -> None:
        """Match again when the pause of a target ends."""
        service = self.entry.ownership.service_by_id.get(name)
        now = self.clock.now()
        opening = service.next_pause_end(now) if service else None
        if opening is not None and name not in self._timer_by_service:
            self._timer_by_service[name] = IOLoop.current().call_later(
                opening - now,
                self._wake,
                name,
            )

    def _wake(self, name: ServiceId) -> None:
        self._timer_by_service.pop(name, None)
        self.pump(name)


def _do_nothing() -> None:
    """Stand in until somebody wants to know."""

"""How the leaders of regions keep each other up to date."""

import asyncio
import contextlib
from types import TracebackType
from typing import TYPE_CHECKING, Any, Self, final

from returns.result import Success
from tornado.ioloop import PeriodicCallback

from turmericmast.ids import RegionId, Seconds
from turmericmast.region.commands import AdoptFleet, NoteSummary, ReportRegion
from turmericmast.wire.client import GroupClient
from turmericmast.wire.requests import Follow, Followed

if TYPE_CHECKING:
    from turmericmast.programs.control import Control

INTERVAL_MS = 500
TIMEOUT = 1.0


@final
class Followers:
    """Asks every other region in turn, while this replica leads."""

    def __init__(self, control: 'Control') -> None:
        """Know the control groups of the other regions."""
        self._control = control
        process = control.process
        own = control.region.region
        self._client_by_region = {
            region: GroupClient(
                process.node,
                process.clock,
                {one.member: one.peer for one in known.control},
            )
            for region, known in process.settings.region_by_id.items()
            if region != own
        }
        self._busy: set[RegionId] = set()
        self._ticker = PeriodicCallback(self._tick, INTERVAL_MS)

    def __enter__(self) -> Self:
        """Return the followers."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop asking."""
        self._ticker.stop()
        with contextlib.ExitStack() as stack:
            for client in self._client_by_region.values():
                stack.push(client)

    def start(self) -> None:
        """Begin to ask."""
        self._ticker.start()

    def _tick(self) -> None:
        if not self._control.group.is_leader:
            return
        asyncio.ensure_future(self._report_own())
        for region in self._client_by_region.keys() - self._busy:
            self._busy.add(region)
            asyncio.ensure_future(self._ask(region))

    async def _report_own(self) -> None:
        """Tell the own group, when it orders changes, what is in force."""
        control = self._control
        region = control.region
        if control.process.settings.ordering_region != region.region:
            return
        version = self._in_force()
        known = region.fleet.in_force_by_region.get(region.region, 0)
        if version > known:
            await control.change(ReportRegion(region.region, version))

    async def _ask(self, name: RegionId) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(self._busy.discard, name)
            await self._exchange(name)

    async def _exchange(self, name: RegionId) -> None:
        control = self._control
        region = control.region
        record = region.fleet_record()
        answer = await self._client_by_region[name].request(
            Follow(
                region.region,
                record.version,
                record.accepted,
                self._in_force(),
                region.view.summary(region.region),
            ),
            Seconds(control.process.clock.now() + TIMEOUT),
        )
        if isinstance(answer, Success):
            await self._learn(answer.unwrap())

    async def _learn(self, followed: Any) -> None:
        if not isinstance(followed, Followed):
            return
        control = self._control
        summary = followed.summary
        known = control.region.view.summary_by_region.get(summary.region)
        if known != summary:
            await control.change(NoteSummary(summary))
        fleet = followed.fleet
        orders = control.process.settings.ordering_region
        if fleet and summary.region == orders:
            await control.change(
                AdoptFleet(
                    fleet.version,
                    fleet.digest,
                    fleet.document,
                    fleet.accepted,
                ),
            )

    def _in_force(self) -> Any:
        control = self._control
        return control.renewals.version_in_force(
            control.instances,
            control.region.fleet.current.version,
        )

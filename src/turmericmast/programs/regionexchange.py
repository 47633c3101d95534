"""Exchange of state between the leaders of the regions' control groups.

Regions exchange summaries of their services. The region that orders changes of
the fleet document also distributes it, and learns which version the other
regions have in force.
"""

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

EXCHANGE_INTERVAL_MS = 500
"""Milliseconds between two requests to the same region.

A region whose answer is outstanding gets no further request."""
EXCHANGE_TIMEOUT = 1.0
"""Seconds to wait for the answer of another region."""


@final
class RegionExchange:
    """Requests the state of all other regions while this member leads."""

    def __init__(self, control: 'Control') -> None:
        """Create a client for the control group of each other region."""
        self._control = control
        process = control.process
        own_region = control.region.region
        self._client_by_region = {
            region: GroupClient(
                process.context,
                process.clock,
                {
                    member_settings.member: member_settings.peer
                    for member_settings in region_settings.control
                },
            )
            for region, region_settings in process.settings.region_by_id.items()
            if region != own_region
        }
        self._pending_regions: set[RegionId] = set()
        self._ticker = PeriodicCallback(self._tick, EXCHANGE_INTERVAL_MS)

    def __enter__(self) -> Self:
        """Return the exchange, which stops on exit."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop sending requests and close the clients."""
        self._ticker.stop()
        with contextlib.ExitStack() as stack:
            for client in self._client_by_region.values():
                stack.push(client)

    def start(self) -> None:
        """Begin to send requests."""
        self._ticker.start()

    def _tick(self) -> None:
        if not self._control.group.is_leader:
            return
        asyncio.ensure_future(self._report_own_version())
        for region in self._client_by_region.keys() - self._pending_regions:
            self._pending_regions.add(region)
            asyncio.ensure_future(self._exchange(region))

    async def _report_own_version(self) -> None:
        """Record the version in force here, if this region orders changes."""
        control = self._control
        region = control.region
        if control.process.settings.ordering_region != region.region:
            return
        version = self._version_in_force()
        known_version = region.fleet.in_force_by_region.get(region.region, 0)
        if version > known_version:
            await control.change(ReportRegion(region.region, version))

    async def _exchange(self, region_id: RegionId) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(self._pending_regions.discard, region_id)
            await self._send_request(region_id)

    async def _send_request(self, region_id: RegionId) -> None:
        control = self._control
        region = control.region
        record = region.fleet_record()
        answer = await self._client_by_region[region_id].request(
            Follow(
                region.region,
                record.version,
                record.accepted,
                self._version_in_force(),
                region.view.summary(region.region),
            ),
            Seconds(control.process.clock.now() + EXCHANGE_TIMEOUT),
        )
        if isinstance(answer, Success):
            await self._apply_answer(answer.unwrap())

    async def _apply_answer(self, answer: Any) -> None:
        if not isinstance(answer, Followed):
            return
        control = self._control
        summary = answer.summary
        known_summary = control.region.view.summary_by_region.get(
            summary.region
        )
        if known_summary != summary:
            await control.change(NoteSummary(summary))
        fleet = answer.fleet
        ordering_region = control.process.settings.ordering_region
        if fleet and summary.region == ordering_region:
            await control.change(
                AdoptFleet(
                    fleet.version,
                    fleet.digest,
                    fleet.document,
                    fleet.accepted,
                ),
            )

    def _version_in_force(self) -> Any:
        control = self._control
        return control.renewals.version_in_force(
            control.instances,
            control.region.fleet.current.version,
        )

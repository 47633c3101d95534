"""Background probes, and load gossip between instances over UDP."""

import asyncio
from collections.abc import Callable, Iterable
from types import TracebackType
from typing import Any, Self, final

from turmericmast.balance.news import LoadNews
from turmericmast.balance.targetview import TargetView
from turmericmast.clock import Clock
from turmericmast.edge.edge import Edge
from turmericmast.edge.gossip import BUSY_CHECK_INTERVAL, LoadGossip, Parcel
from turmericmast.edge.reach import is_cut_off
from turmericmast.metrics import Metrics
from turmericmast.web.probing import Prober
from turmericmast.wire.datagrams import DatagramEndpoint


@final
class LoadSharing:
    """Probes the assigned targets and exchanges load reports.

    ``LoadGossip`` decides what to probe and what to send to whom.
    """

    def __init__(
        self,
        edge: Edge,
        prober: Prober,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Prepare for ``edge``; ``open`` starts."""
        self.on_departure: Callable[[TargetView], None] = _ignore_departure
        """Called when another instance tells that a target is leaving."""
        self.on_check: Callable[[], None] = _do_nothing
        """Called with each check for due probes."""
        self._edge = edge
        self._gossip = LoadGossip(edge)
        self._prober = prober
        self._clock = clock
        self._datagrams = DatagramEndpoint(metrics, self._receive)
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Return the object itself; leaving the context stops it."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop probing and close the socket."""
        with self._datagrams:
            self._cancel_timer()

    async def open(self, address: str) -> None:
        """Listen on ``address`` and start to probe."""
        self._prober.on_result = self.share_result
        await self._datagrams.open(address)
        self._schedule(BUSY_CHECK_INTERVAL)

    def check_now(self) -> None:
        """Probe what is due now, since routes or targets have changed."""
        if self._timer:
            self._cancel_timer()
            self._check()

    def share_result(self, view: TargetView, *, is_lost: bool = False) -> None:
        """Tell the domain the load of a target, or its loss.

        Losses of an instance that is cut off say nothing about the targets.
        """
        edge = self._edge
        now = self._clock.now()
        if is_lost and is_cut_off(edge.views(), now, edge.evacuated):
            return
        self._send(self._gossip.share_load(view, now, is_lost=is_lost))

    def announce_request(self, view: TargetView) -> None:
        """Tell the domain that a request is about to be sent."""
        self._send(self._gossip.announce_request(view))

    def _schedule(self, delay: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._check)

    def _cancel_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        now = self._clock.now()
        self._schedule(self._gossip.check_interval(now))
        for view in self._gossip.probes_due(now):
            path = self._edge.health_path(view.record.service)
            if path:
                self._prober.start(view, path)
        self._send(self._gossip.forward(now))
        self.on_check()

    def _send(self, parcels: Iterable[Parcel]) -> None:
        for parcel in parcels:
            self._datagrams.send(parcel.news, parcel.peers)

    def _receive(self, message: Any) -> None:
        if isinstance(message, LoadNews):
            leaving = self._gossip.receive(message, self._clock.now())
            for view in leaving:
                self.on_departure(view)


def _ignore_departure(view: TargetView) -> None:
    """Do nothing; the default until a callback is set."""


def _do_nothing() -> None:
    """Do nothing; the default until a callback is set."""

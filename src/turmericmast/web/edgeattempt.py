"""One attempt to have a target answer a request."""

import asyncio
from collections.abc import Callable
from typing import final

from turmericmast.balance.hedge import Hedge
from turmericmast.balance.pool import Candidate, Pool
from turmericmast.balance.profile import RouteProfile
from turmericmast.call.call import Loss
from turmericmast.ids import Seconds
from turmericmast.web.edgeanswer import EdgeAnswer
from turmericmast.web.edgedesk import EdgeDesk
from turmericmast.web.transfer import Progress, Transfer, TransferRequest

MakeRequest = Callable[[Candidate, Callable[[], None]], TransferRequest]


@final
class EdgeAttempt:
    """Sends a request to one target, and learns from how that ends."""

    def __init__(
        self,
        desk: EdgeDesk,
        pool: Pool,
        chosen: Candidate,
        answer: EdgeAnswer,
        profile: RouteProfile,
    ) -> None:
        """Prepare; nothing is sent yet."""
        self.answer = answer
        self.chosen = chosen
        self.began_at = desk.clock.now()
        self.hedge = Hedge(chosen, self.began_at)
        self._desk = desk
        self._pool = pool
        self._profile = profile
        self._sent_octets = 0
        self._slowness = chosen.view.report.slowness
        self._is_cancelled = False
        self._transfer: Transfer | None = None
        self._task: asyncio.Task[Loss | None] | None = None

    @property
    def task(self) -> asyncio.Task[Loss | None]:
        """Return what ends with the attempt."""
        if self._task is None:
            raise RuntimeError('the attempt has not begun')
        return self._task

    def begin(self, make_request: MakeRequest) -> None:
        """Send the request."""
        view = self.chosen.view
        self._pool.begin_request(view, self.began_at)
        self._desk.newsroom.announce(view)
        request = make_request(self.chosen, self.resume)
        self._sent_octets = max(request.body_size, 0)
        transfer = Transfer(
            self._desk.curl,
            request,
            self.answer,
            self._may_send,
        )
        self._transfer = transfer
        self._task = asyncio.ensure_future(self._run(transfer))

    def resume(self) -> None:
        """Go on after the caller or the body made the transfer wait."""
        if self._transfer:
            self._transfer.resume()

    def cancel(self) -> None:
        """Give up; the target is told by the end of the connection."""
        self._is_cancelled = True
        if self._transfer:
            self._transfer.cancel()

    async def _run(self, transfer: Transfer) -> Loss | None:
        loss = self.answer.judge(await transfer.run())
        now = self._desk.clock.now()
        view = self.chosen.view
        if self.answer.load:
            view.update_load(self.answer.load, now)
        is_unsent = transfer.progress is Progress.vetoed
        if self._is_cancelled or is_unsent or self.answer.is_outrun:
            view.drop_request()
            return loss
        view.end_request(loss, now)
        self._tell(loss, now)
        return loss

    def _tell(self, loss: Loss | None, now: Seconds) -> None:
        view = self.chosen.view
        is_lost = loss in {Loss.never_sent, Loss.connection_lost}
        self._desk.newsroom.tell(view, is_lost=is_lost)
        if self.answer.is_misdirected:
            view.eject_misplaced()
        if loss is None:
            self._profile.learn(
                now - self.began_at,
                self._slowness,
                self._sent_octets + self.answer.octets,
            )

    def _may_send(self) -> bool:
        may_send = self._desk.edge.may_send(self.chosen.view)
        return may_send and not self._is_cancelled

"""Passes on one large body at the pace of the link."""

import asyncio
import math
from typing import final

from turmericmast.balance.linkpace import LinkPace
from turmericmast.ids import Seconds
from turmericmast.web.body import MAX_BUFFERED_BYTES


@final
class BodyPace:
    """When a body may go on: at once while it is small."""

    def __init__(self, link: LinkPace) -> None:
        """Begin a body that shares ``link`` with others."""
        self._link = link
        self._octets = 0
        self._may_go_on_at = -math.inf

    def pass_on(self, octets: int) -> None:
        """Count a part that was passed on."""
        self._octets += octets
        if self._link.is_limited and self._octets > MAX_BUFFERED_BYTES:
            self._may_go_on_at = self._link.pass_on(octets, _now())

    def time_left(self) -> float:
        """Return the seconds until the next part may be passed on."""
        if self._may_go_on_at <= 0:
            return 0
        return max(self._may_go_on_at - _now(), 0)

    async def wait(self) -> None:
        """Wait until the next part may be passed on."""
        time_left = self.time_left()
        if time_left:
            await asyncio.sleep(time_left)


def _now() -> Seconds:
    return Seconds(asyncio.get_running_loop().time())

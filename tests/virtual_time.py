"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from typing import final

from tests.edge_samples import NOW
from turmericmast.clock import SystemClock
from turmericmast.ids import Seconds


@final
class _JumpingSelector(selectors.DefaultSelector):
    """Adds up the time that it was to wait, and does not wait."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = float(0)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now."""
        self.elapsed += max(timeout or 0, 0)
        return super().select(0)


@final
class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop for timers and tasks, in which a busy machine costs no time."""

    def __init__(self) -> None:
        """Begin at 0 seconds."""
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        """Return the seconds that the loop was to wait so far."""
        return self._jumping_selector.elapsed


@final
class LoopClock(SystemClock):
    """The time of the running loop, counted from ``NOW``."""

    def now(self) -> Seconds:
        """Return the time in seconds."""
        return Seconds(NOW + asyncio.get_running_loop().time())

"""Keeps a core member's proof that it lacks no older change."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import TypeAlias, final

from returns.result import Result, Success

from turmericmast.clock import LONG_AGO, Clock
from turmericmast.exceptions import TurmericmastError
from turmericmast.ids import Index, Seconds
from turmericmast.programs.groupmember import GroupMember
from turmericmast.replica.readproof import ReadProof
from turmericmast.units import MILLIS_PER_SECOND

ASK_INTERVAL = 0.5
"""Seconds between two requests to the leader while edges want a proof."""
RETRY_INTERVAL = 0.1
"""Seconds between two requests after one that failed, as without a leader."""
ASK_TIMEOUT = 1.0
"""Seconds to wait for the leader."""
MAX_AGE = 1.0
"""Seconds from which on a proof is too old to be passed on without waiting."""
MAX_WAIT = 0.1
"""Longest time in seconds that an answer waits for a younger proof.

Several round trips between regions; an answer may carry urgent changes."""

FetchIndex: TypeAlias = Callable[
    [float], Awaitable[Result[Index, TurmericmastError]]
]
"""Returns the leader's commit index, told under its lease, within a time."""


@final
class ReadProofs:
    """Asks the leader for its commit index while edges want a proof.

    Nothing is sent where no edge does.
    """

    def __init__(
        self, clock: Clock, group: GroupMember, fetch_index: FetchIndex
    ) -> None:
        """Begin without a proof, as after a start."""
        self._clock = clock
        self._group = group
        self._fetch_index = fetch_index
        self._proof = ReadProof()
        self._next_ask: Seconds = LONG_AGO
        self._asking: asyncio.Task[None] | None = None

    def refresh(self) -> None:
        """Ask the leader, unless that was done a short time ago."""
        now = self._clock.now()
        if now >= self._next_ask:
            self._next_ask = Seconds(now + ASK_INTERVAL)
            self._asking = asyncio.ensure_future(self._ask(now))

    async def wait(self) -> None:
        """Wait a little for the leader's answer if the proof is old."""
        if self._asking and self._age() > MAX_AGE:
            await asyncio.wait([self._asking], timeout=MAX_WAIT)

    def age_ms(self) -> int | None:
        """Return the milliseconds since the proof, ``None`` without one."""
        age = self._age()
        return math.ceil(age * MILLIS_PER_SECOND) if age < math.inf else None

    def _age(self) -> float:
        now = self._clock.now()
        if self._group.is_leader:
            self._proof.record(now, self._group.replica.state.commit)
        proven_at = self._proof.proven_at(self._group.applied_index)
        return self._clock.now() - proven_at

    async def _ask(self, asked_at: Seconds) -> None:
        index = await self._fetch_index(ASK_TIMEOUT)
        if isinstance(index, Success):
            self._proof.record(asked_at, index.unwrap())
        else:
            self._next_ask = min(
                self._next_ask, Seconds(self._clock.now() + RETRY_INTERVAL)
            )

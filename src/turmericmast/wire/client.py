"""A client of a replicated group: finds the leader and asks it."""

import abc
import asyncio
from collections.abc import Mapping
from types import TracebackType
from typing import Any, Self, final

from returns.result import Failure, Result, Success

from turmericmast.clock import Clock
from turmericmast.exceptions import RefusedError, TurmericmastError, WireError
from turmericmast.ids import MemberId, Seconds
from turmericmast.wire.link import Link, Node
from turmericmast.wire.replies import NotNow, Refusal

REQUEST_TIMEOUT = 1.0
"""Seconds to wait for one member before the next one is asked."""
PAUSE = 0.05
"""Seconds between two questions when nobody could answer."""


class Group(abc.ABC):
    """A replicated group, as those see it who ask it something."""

    @abc.abstractmethod
    async def request(
        self,
        body: object,
        deadline: Seconds,
        timeout: float = REQUEST_TIMEOUT,
    ) -> Result[Any, TurmericmastError]:
        """Return the leader's answer, or why there was none in time."""

    @abc.abstractmethod
    async def request_once(
        self,
        body: object,
        timeout: float,
    ) -> Result[Any, TurmericmastError]:
        """Ask the member that leads as far as known."""


@final
class GroupClient(Group):
    """Asks the members of a group in turn until the leader answers."""

    def __init__(
        self,
        node: Node,
        clock: Clock,
        address_by_member: Mapping[MemberId, str],
    ) -> None:
        """Know the members; connections are made when needed."""
        self._clock = clock
        self._members = list(address_by_member)
        self._link_by_member = {
            member: Link(node, address)
            for member, address in address_by_member.items()
        }
        self._next = self._members[0]

    def __enter__(self) -> Self:
        """Return the client."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all links."""
        for link in self._link_by_member.values():
            link.__exit__(kind, error, trace)

    async def request(
        self,
        body: object,
        deadline: Seconds,
        timeout: float = REQUEST_TIMEOUT,
    ) -> Result[Any, TurmericmastError]:
        """Return the leader's answer, or why there was none in time."""
        answer: Result[Any, TurmericmastError] = Failure(self._late())
        while (left := deadline - self._clock.now()) > 0:
            answer = await self.request_once(body, min(timeout, left))
            is_refused = isinstance(answer, Failure) and isinstance(
                answer.failure(),
                RefusedError,
            )
            if isinstance(answer, Success) or is_refused:
                return answer
            await asyncio.sleep(PAUSE)
        return answer

    async def request_once(
        self,
        body: object,
        timeout: float,
    ) -> Result[Any, TurmericmastError]:
        """Ask the member that leads as far as known."""
        member = self._next
        answered = await self._link_by_member[member].request(body, timeout)
        if not isinstance(answered, Success):
            self._turn(member, MemberId(''))
            return answered
        answer = answered.unwrap()
        match answer:
            case NotNow(leader=leader, message=message):
                self._turn(member, leader)
                return Failure(
                    WireError(message, step='ask group', peer=member),
                )
            case Refusal(step=step, message=message, hint=hint):
                return Failure(
                    RefusedError(message, step=step, peer=member, hint=hint),
                )
        return Success(answer)

    def _turn(self, asked: MemberId, leader: MemberId) -> None:
        if self._next != asked:
            # Another question has already found somebody better.
            return
        if leader in self._link_by_member and leader != asked:
            self._next = leader
            return
        position = self._members.index(asked) + 1
        self._next = self._members[position % len(self._members)]

    def _late(self) -> WireError:
        return WireError(
            'no time was left to ask',
            step='ask group',
            peer=self._next,
        )

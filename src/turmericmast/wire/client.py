"""A client of a replicated group: finds its leader and sends it requests."""

import abc
import asyncio
from collections.abc import Mapping
from types import TracebackType
from typing import Any, Self, final

from returns.result import Failure, Result, Success

from turmericmast.clock import Clock
from turmericmast.exceptions import RefusedError, TurmericmastError, WireError
from turmericmast.ids import MemberId, Seconds
from turmericmast.wire.link import Link, ProcessContext
from turmericmast.wire.replies import NotNow, Refusal

REQUEST_TIMEOUT = 1.0
"""Seconds to wait for one member before the next one is tried."""
RETRY_INTERVAL = 0.05
"""Seconds between two attempts while no member can answer."""


class Group(abc.ABC):
    """Sends requests to a replicated group."""

    @abc.abstractmethod
    async def request(
        self,
        body: object,
        deadline: Seconds,
        timeout: float = REQUEST_TIMEOUT,
    ) -> Result[Any, TurmericmastError]:
        """Return the leader's answer, or why there is none by ``deadline``.

        Each attempt waits at most ``timeout`` seconds. A ``RefusedError`` is
        returned at once, since another attempt would be refused, too.
        """

    @abc.abstractmethod
    async def request_once(
        self,
        body: object,
        timeout: float,
    ) -> Result[Any, TurmericmastError]:
        """Send a request to the presumed leader, without a retry."""


@final
class GroupClient(Group):
    """Tries the members of a group in turn until the leader answers."""

    def __init__(
        self,
        context: ProcessContext,
        clock: Clock,
        address_by_member: Mapping[MemberId, str],
    ) -> None:
        """Prepare a link to each member; it connects on its first request."""
        self._clock = clock
        self._members = list(address_by_member)
        self._link_by_member = {
            member: Link(context, address)
            for member, address in address_by_member.items()
        }
        self._next_member = self._members[0]

    def __enter__(self) -> Self:
        """Return the client."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the links to all members."""
        for link in self._link_by_member.values():
            link.__exit__(kind, error, trace)

    async def request(
        self,
        body: object,
        deadline: Seconds,
        timeout: float = REQUEST_TIMEOUT,
    ) -> Result[Any, TurmericmastError]:
        """Return the leader's answer, or why there is none by ``deadline``.

        Each attempt waits at most ``timeout`` seconds. A ``RefusedError`` is
        returned at once, since another attempt would be refused, too.
        """
        answer: Result[Any, TurmericmastError] = Failure(self._deadline_error())
        while (time_left := deadline - self._clock.now()) > 0:
            answer = await self.request_once(body, min(timeout, time_left))
            is_refused = isinstance(answer, Failure) and isinstance(
                answer.failure(),
                RefusedError,
            )
            if isinstance(answer, Success) or is_refused:
                return answer
            await asyncio.sleep(RETRY_INTERVAL)
        return answer

    async def request_once(
        self,
        body: object,
        timeout: float,
    ) -> Result[Any, TurmericmastError]:
        """Send a request to the presumed leader, without a retry."""
        member = self._next_member
        outcome = await self._link_by_member[member].request(body, timeout)
        if not isinstance(outcome, Success):
            self._choose_next(member, MemberId(''))
            return outcome
        answer = outcome.unwrap()
        match answer:
            case NotNow(leader=leader, message=message):
                self._choose_next(member, leader)
                return Failure(
                    WireError(message, step='ask group', peer=member),
                )
            case Refusal(step=step, message=message, hint=hint):
                return Failure(
                    RefusedError(message, step=step, peer=member, hint=hint),
                )
        return Success(answer)

    def _choose_next(self, member: MemberId, leader: MemberId) -> None:
        """Switch to ``leader`` if it is known, else to the next member."""
        if self._next_member != member:
            # A concurrent request has already switched to another member.
            return
        if leader in self._link_by_member and leader != member:
            self._next_member = leader
            return
        position = self._members.index(member) + 1
        self._next_member = self._members[position % len(self._members)]

    def _deadline_error(self) -> WireError:
        return WireError(
            'the deadline passed before a member answered',
            step='ask group',
            peer=self._next_member,
        )

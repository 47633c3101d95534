"""The links of a process to the members of a group."""

import contextlib
import functools
from collections.abc import Callable, Collection, Mapping
from types import TracebackType
from typing import Any, Self, final

from turmericmast.ids import MemberId
from turmericmast.wire.link import Link, ProcessContext


@final
class LinkPool:
    """Holds one link to each member, created on first use."""

    def __init__(self, context: ProcessContext) -> None:
        """Use the id of a member as its address until one is known."""
        self.address_by_member: Mapping[MemberId, str] = {}
        self.on_late_answer: Callable[[MemberId, Any], object] = _ignore_answer
        """Called with a member and an answer that came too late."""
        self._context = context
        self._link_by_member: dict[MemberId, Link] = {}

    def __enter__(self) -> Self:
        """Return the pool, which closes its links on exit."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the links to all members."""
        self.close_except(())

    def to(self, member: MemberId) -> Link:
        """Return the link to a member; create it if there is none."""
        link = self._link_by_member.get(member)
        if link is None:
            address = self.address_by_member.get(member, member)
            link = Link(self._context, address)
            link.on_late_answer = functools.partial(self.on_late_answer, member)
            self._link_by_member[member] = link
        return link

    def close(self, member: MemberId) -> None:
        """Close the link to a member; what waits in it is not sent."""
        link = self._link_by_member.pop(member, None)
        if link:
            with link:
                """Leaving the context closes the link."""

    def close_except(self, members: Collection[MemberId]) -> None:
        """Close all links but those to ``members``."""
        unused = [peer for peer in self._link_by_member if peer not in members]
        with contextlib.ExitStack() as stack:
            for member in unused:
                stack.push(self._link_by_member.pop(member))


def _ignore_answer(member: MemberId, answer: Any) -> None:
    """Do nothing; the default until a callback is set."""

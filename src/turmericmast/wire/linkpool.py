"""The links of a process to its peers."""

import contextlib
from collections.abc import Collection, Mapping
from types import TracebackType
from typing import Self, final

from turmericmast.ids import MemberId
from turmericmast.wire.link import Link, Node


@final
class LinkPool:
    """One link to each peer, made when it is first used."""

    def __init__(self, node: Node) -> None:
        """Name peers by their addresses until told otherwise."""
        self.address_by_member: Mapping[MemberId, str] = {}
        self._node = node
        self._link_by_member: dict[MemberId, Link] = {}

    def __enter__(self) -> Self:
        """Return the links."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close every link."""
        self.close_except(())

    def to(self, member: MemberId) -> Link:
        """Return the link to a peer."""
        known = self._link_by_member.get(member)
        if known is None:
            address = self.address_by_member.get(member, member)
            known = Link(self._node, address)
            self._link_by_member[member] = known
        return known

    def close_except(self, members: Collection[MemberId]) -> None:
        """Close the links to all other peers."""
        gone = [one for one in self._link_by_member if one not in members]
        with contextlib.ExitStack() as stack:
            for member in gone:
                stack.push(self._link_by_member.pop(member))

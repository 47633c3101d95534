"""The core as the source of an edge's tokens."""

from collections.abc import Sequence
from typing import final

from turmericmast.ids import MemberId
from turmericmast.programs.clusterwatcher import ClusterWatcher
from turmericmast.programs.tokenlinks import TokenLinks
from turmericmast.web.tokenasker import TokenSource
from turmericmast.wire.watchrequests import AskTokens, TellTokens


@final
class CoreTokenSource(TokenSource):
    """Asks the members that the watcher of the cluster knows."""

    def __init__(self, watcher: ClusterWatcher, links: TokenLinks) -> None:
        """Ask on ``links``, in the order that ``watcher`` prefers."""
        self._watcher = watcher
        self._links = links

    @property
    def is_in_force(self) -> bool:
        """Tell whether members of this version were seen."""
        return self._watcher.grants_tokens

    def members(self) -> Sequence[MemberId]:
        """Return the members to ask, preferred ones first."""
        return self._watcher.members()

    async def ask(self, member: MemberId, ask: AskTokens) -> TellTokens | None:
        """Return the answer of a member, ``None`` if it has none."""
        return await self._links.ask(member, ask)

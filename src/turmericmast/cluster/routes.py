"""The book of route versions: one at a time, by compare-and-set."""

from typing import final

from returns.result import Failure, Result, Success

from turmericmast.cluster.commands import ProposeRoutes
from turmericmast.cluster.records import PastVersion, RoutesRecord
from turmericmast.exceptions import ConflictError
from turmericmast.ids import Digest, Index, Version

MAX_PAST_VERSIONS = 4096
"""Accepted versions that are known for operators who send them again."""


@final
class RouteVersions:
    """Keeps the newest version, and knows which ones were accepted."""

    def __init__(self) -> None:
        """Start before the first version."""
        self.current = RoutesRecord()
        self.changed_at = Index(0)
        self.digest_by_version: dict[Version, Digest] = {}

    def restore(
        self,
        current: RoutesRecord,
        past: tuple[PastVersion, ...],
        index: Index,
    ) -> None:
        """Take versions as they are."""
        self.current = current
        self.changed_at = index
        self.digest_by_version = {one.version: one.digest for one in past}

    def propose(
        self,
        proposal: ProposeRoutes,
        index: Index,
    ) -> Result[bool, ConflictError]:
        """Install the next version; tell whether it is a new one."""
        routes = proposal.routes
        if self.digest_by_version.get(routes.version) == routes.digest:
            return Success(False)
        is_next = routes.version > self.current.version
        if proposal.base != self.current.version or not is_next:
            return Failure(self._conflict(proposal))
        self.current = routes
        self.changed_at = index
        self.digest_by_version[routes.version] = routes.digest
        if len(self.digest_by_version) > MAX_PAST_VERSIONS:
            self.digest_by_version.pop(next(iter(self.digest_by_version)))
        return Success(True)

    def _conflict(self, proposal: ProposeRoutes) -> ConflictError:
        return ConflictError(
            f'version {proposal.routes.version} was made from version '
            f'{proposal.base}, but version {self.current.version} is in force',
            step='propose routes',
            hint='read the current routes, make the change again and send it',
        )

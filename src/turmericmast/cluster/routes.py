"""Versions of the routes, replaced by compare-and-set."""

from typing import final

from returns.result import Failure, Result, Success

from turmericmast.cluster.commands import ProposeRoutes
from turmericmast.cluster.records import PastVersion, RoutesRecord
from turmericmast.exceptions import ConflictError
from turmericmast.ids import Digest, Index, Version

MAX_PAST_VERSIONS = 4096
"""Accepted versions that are kept, for operators who send them again."""


@final
class RouteVersions:
    """The current version of the routes and the digests of accepted ones."""

    def __init__(self) -> None:
        """Begin without a version."""
        self.current = RoutesRecord()
        self.changed_at = Index(0)
        """Index of the command that set the current version."""
        self.digest_by_version: dict[Version, Digest] = {}

    def restore(
        self,
        current: RoutesRecord,
        past: tuple[PastVersion, ...],
        index: Index,
    ) -> None:
        """Replace all versions by those of a snapshot."""
        self.current = current
        self.changed_at = index
        self.digest_by_version = {
            accepted.version: accepted.digest for accepted in past
        }

    def propose(
        self,
        proposal: ProposeRoutes,
        index: Index,
    ) -> Result[bool, ConflictError]:
        """Accept a version that replaces the current one.

        Return whether it is new: a version that was accepted before is
        confirmed again, without a change. Fail if it was made from another
        version than the current one, or does not have a higher number.
        """
        routes = proposal.routes
        if self.was_accepted(routes.version, routes.digest):
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

    def was_accepted(self, version: Version, digest: Digest) -> bool:
        """Tell whether this very document was accepted before."""
        return self.digest_by_version.get(version) == digest

    def _conflict(self, proposal: ProposeRoutes) -> ConflictError:
        return ConflictError(
            f'version {proposal.routes.version} was made from version '
            f'{proposal.base}, but version {self.current.version} is in force',
            step='propose routes',
            hint='read the current routes, make the change again and send it',
        )

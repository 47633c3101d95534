"""Operations on the cluster that a core member offers."""

import hashlib
import zlib
from typing import TYPE_CHECKING, Any, final

from returns.result import Failure, Result, Success

from turmericmast.cluster import commands
from turmericmast.cluster.records import RoutesRecord, TargetRecord
from turmericmast.exceptions import (
    RefusedError,
    SettingsError,
    TurmericmastError,
)
from turmericmast.ids import (
    Digest,
    DomainId,
    Index,
    MemberId,
    TargetId,
    Version,
)
from turmericmast.instancesettings import InstanceSettings
from turmericmast.programs.clustercommitter import ClusterCommitter
from turmericmast.programs.clusterstate import ClusterStateMachine
from turmericmast.programs.groupmember import GroupMember
from turmericmast.programs.rolloutoperations import RolloutOperations
from turmericmast.programs.tokenservice import TokenService
from turmericmast.route.document import RouteDocument, RouteFormat
from turmericmast.wire import watchrequests

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process

DIGEST_LENGTH = 16
"""Hexadecimal digits in the digest of a route document."""
MAX_REASON_LENGTH = 300
"""Characters of a refusal that an event repeats.

A document may have a fault in each of hundreds of routes."""


@final
class ClusterOperations:
    """Changes and reads the cluster at any member, through the leader."""

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        group: GroupMember,
        state_machine: ClusterStateMachine,
        route_format: RouteFormat,
    ) -> None:
        """Parse route documents with ``route_format``."""
        self._process = process
        self._group = group
        self._state_machine = state_machine
        self._route_format = route_format
        self._reporting_targets: set[TargetId] = set()
        self.committer = ClusterCommitter(process, group, state_machine)
        self.tokens = TokenService(
            process, group, state_machine.cluster, route_format
        )
        self.rollouts = RolloutOperations(
            process, self.committer, group, state_machine.cluster
        )

    @property
    def address(self) -> str:
        """Return the address at which this member serves operators."""
        return self._process.settings.listening.operators

    def take_reporting_targets(self) -> set[TargetId]:
        """Return the targets that reported since the last call."""
        reporting_targets = self._reporting_targets
        self._reporting_targets = set()
        return reporting_targets

    async def report_target(
        self,
        record: TargetRecord,
    ) -> Result[str, TurmericmastError]:
        """Record a report of a target.

        Returns the address for the next report, empty for this member, once a
        report that changes the registry is committed.
        """
        self._reporting_targets.add(record.target)
        registry = self._state_machine.cluster.registry
        if registry.would_change(record):
            changed = await self.change(commands.ReportTarget(record))
            if not isinstance(changed, Success):
                return Failure(changed.failure())
        return Success(self._report_address(record.domain))

    async def remove_target(
        self,
        target: TargetId,
        known: Index,
    ) -> Result[bool, TurmericmastError]:
        """Remove a target that leaves and sends no more reports.

        ``known`` is an index that had been applied before the order was sent.
        Returns what ``change`` does. Fails with ``OvertakenError`` if the
        target has started since ``known``.
        """
        self._reporting_targets.discard(target)
        return await self.committer.order(
            commands.RemoveTargets((target,)), known
        )

    async def propose_routes(
        self,
        source: bytes,
    ) -> Result[bool, TurmericmastError]:
        """Replace the routes by a document in the route format.

        Returns what ``change`` does. Fails with ``SettingsError`` if the
        document is invalid, and with ``ConflictError`` if it is not based on
        the current version.
        """
        digest = Digest(hashlib.sha256(source).hexdigest()[:DIGEST_LENGTH])
        parsed: Result[RouteDocument, TurmericmastError]
        parsed = self._route_format.parse_proposal(source)
        if isinstance(parsed, Success):
            parsed = await self._check_proposal(parsed.unwrap(), digest)
        if not isinstance(parsed, Success):
            self._log_proposal(digest, parsed)
            return Failure(parsed.failure())
        document = parsed.unwrap()
        proposed = await self.change(
            commands.ProposeRoutes(
                RoutesRecord(document.version, digest, zlib.compress(source)),
                document.base,
            ),
        )
        self._log_proposal(
            digest, proposed, version=document.version, base=document.base
        )
        return proposed

    async def read_routes(self) -> Result[bytes, TurmericmastError]:
        """Return the latest committed route document as the operator sent it.

        Fails with ``RefusedError`` if no routes have been set yet. Also fails
        if this member cannot learn the leader's commit index or apply the log
        up to it in time, since its version might be stale.
        """
        caught_up = await self.committer.catch_up()
        if not isinstance(caught_up, Success):
            return Failure(caught_up.failure())
        current = self._state_machine.cluster.route_versions.current
        self._process.events.write(
            'routes_read',
            version=current.version,
            digest=current.digest,
            index=caught_up.unwrap(),
        )
        if not current.source:
            return Failure(
                RefusedError(
                    'no routes have been set yet',
                    step='read routes',
                    hint='send the first version of the route document',
                ),
            )
        return Success(zlib.decompress(current.source))

    async def set_evacuation(
        self,
        domain: DomainId,
        *,
        evacuated: bool,
        known: Index,
    ) -> Result[bool, TurmericmastError]:
        """Evacuate a failure domain, or return it to service.

        ``known`` is an index that had been applied before the order was sent.
        Returns what ``change`` does. Fails with ``SettingsError`` for an
        unknown domain, and with ``OvertakenError`` if the domain has changed
        since ``known``.
        """
        if domain not in self._process.settings.region_by_domain:
            known_domains = ', '.join(self._process.settings.region_by_domain)
            return Failure(
                SettingsError(
                    f'unknown failure domain {domain!r}',
                    step='evacuate',
                    hint=f'use one of {known_domains}',
                ),
            )
        ordered = await self.committer.order(
            commands.SetEvacuation(domain, evacuated), known
        )
        self._process.events.write(
            'evacuation_ordered',
            domain=domain,
            evacuated=evacuated,
            known=known,
            accepted=isinstance(ordered, Success),
            reason=''
            if isinstance(ordered, Success)
            else ordered.failure().show(),
        )
        return ordered

    async def change(
        self,
        command: commands.ClusterCommand,
    ) -> Result[bool, TurmericmastError]:
        """Commit a command, as ``ClusterCommitter.change`` does."""
        return await self.committer.change(command)

    def serve_near_member(
        self, question: watchrequests.AskMember
    ) -> watchrequests.TellMember:
        """Answer an edge that looks for a member in its failure domain."""
        return watchrequests.TellMember(self._member_in(question.domain))

    async def _check_proposal(
        self, document: RouteDocument, digest: Digest
    ) -> Result[RouteDocument, TurmericmastError]:
        """Return a document that may be proposed, or what is wrong with it.

        One that was accepted once is confirmed when it is sent again, whatever
        the checks of this version say.
        """
        valid = document.validate(
            frozenset(self._process.settings.region_by_domain.values())
        )
        if isinstance(valid, Success):
            return valid
        caught_up = await self.committer.catch_up()
        if not isinstance(caught_up, Success):
            return Failure(caught_up.failure())
        versions = self._state_machine.cluster.route_versions
        if versions.was_accepted(document.version, digest):
            return Success(document)
        return Failure(valid.failure())

    def _log_proposal(
        self,
        digest: Digest,
        outcome: Result[Any, TurmericmastError],
        **versions: Version,
    ) -> None:
        is_accepted = isinstance(outcome, Success)
        reason = '' if is_accepted else outcome.failure().show()
        self._process.events.write(
            'routes_proposed',
            digest=digest,
            accepted=is_accepted,
            reason=reason[:MAX_REASON_LENGTH],
            **versions,
        )

    def _report_address(self, domain: DomainId) -> str:
        """Return the address of the member that a target should report to.

        It is the member in the target's failure domain, ``domain``. Empty if
        that is this member, or if that domain has no member.
        """
        settings = self._process.settings
        if domain == settings.domain:
            return ''
        host, _, _ = self._member_in(domain).rpartition(':')
        return f'{host}:{settings.operators_port}' if host else ''

    def _member_in(self, domain: DomainId) -> MemberId:
        """Return a member in a failure domain, empty if there is none."""
        return next(
            (
                seat.member
                for seat in self._group.seats
                if seat.domain == domain
            ),
            MemberId(''),
        )

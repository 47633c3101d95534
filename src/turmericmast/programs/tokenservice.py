"""Tokens at a member of the core: granted by the leader, relayed by others."""

import asyncio
import functools
import zlib
from typing import TYPE_CHECKING, Any, TypeAlias, final

from returns.result import Success

from turmericmast.allowance.batch import DemandBatch
from turmericmast.allowance.ledger import TokenLedger
from turmericmast.allowance.limit import limit_of
from turmericmast.allowance.tokens import TokenGrant
from turmericmast.cluster.cluster import Cluster
from turmericmast.cluster.records import RoutesRecord
from turmericmast.ids import Digest, Seconds, Term
from turmericmast.instancesettings import InstanceSettings
from turmericmast.programs.groupmember import GroupMember
from turmericmast.programs.groupsetup import error_reply
from turmericmast.programs.tokenlinks import TokenLinks
from turmericmast.route.document import RouteDocument, RouteFormat
from turmericmast.wire.linkpool import LinkPool
from turmericmast.wire.watchrequests import AskTokens, TellTokens

if TYPE_CHECKING:
    from turmericmast.programs.runner import Process

BATCH_INTERVAL = 0.008
"""Seconds between two asks of a member to the leader.

The leader of six members gets at most 625 asks a second then."""

_Parts: TypeAlias = tuple[tuple[TokenGrant, ...], ...]
"""The grants of each ask of a batch; empty without an answer."""


@final
class TokenService:
    """Answers the asks of edges for tokens."""

    def __init__(
        self,
        process: 'Process[InstanceSettings]',
        group: GroupMember,
        cluster: Cluster,
        route_format: RouteFormat,
    ) -> None:
        """Apply the limits of the routes of ``cluster`` while leading."""
        self._process = process
        self._group = group
        self._cluster = cluster
        self._route_format = route_format
        self._ledger: TokenLedger | None = None
        self._ledger_term = Term(0)
        self._limits_digest = Digest('')
        self._batch = DemandBatch()
        self._batch_answer: asyncio.Task[_Parts] | None = None
        self._next_batch_at = float(0)

    def tick(self) -> None:
        """Begin a ledger soon after this member has become the leader.

        Its buckets fill from then on.
        """
        if self._group.is_leader:
            self._current_ledger()

    async def serve(self, ask: AskTokens) -> Any:
        """Answer an edge, or a member that relays asks of edges."""
        # Read before the lease is checked: the process may be frozen between,
        # and grants count at the earlier time.
        now = self._process.clock.now()
        if self._group.is_leader:
            return self._grant(ask, now)
        if ask.relayed or not self._group.replica.leader:
            return error_reply(self._group.not_leader_error())
        answer = await self._relay(ask)
        return answer or error_reply(self._group.not_leader_error())

    @functools.cached_property
    def _links(self) -> TokenLinks:
        """Return the links to the leader; a leader needs none."""
        return TokenLinks(
            LinkPool(self._process.context), self._process.metrics
        )

    def _grant(self, ask: AskTokens, now: Seconds) -> TellTokens:
        ledger = self._current_ledger()
        grants = tuple(ledger.grant(demand, now) for demand in ask.demands)
        metrics = self._process.metrics
        metrics.count('tokens_granted', sum(grant.tokens for grant in grants))
        metrics.count(
            'token_refusals', sum(grant.wait_ms > 0 for grant in grants)
        )
        return TellTokens(grants)

    def _current_ledger(self) -> TokenLedger:
        """Return the ledger of the current term, with the limits in force."""
        now = self._process.clock.now()
        vote = self._group.replica.state.vote
        term = vote.term
        if self._ledger is None or term != self._ledger_term:
            window = self._process.settings.bounds.quota_window
            self._ledger = TokenLedger(window, now)
            self._ledger_term = term
            self._limits_digest = Digest('')
            self._process.events.write('token_ledger', term=term)
        routes = self._cluster.route_versions.current
        if routes.digest != self._limits_digest:
            self._limits_digest = routes.digest
            self._use_limits(self._ledger, routes, now)
        return self._ledger

    def _use_limits(
        self, ledger: TokenLedger, routes: RoutesRecord, now: Seconds
    ) -> None:
        document = self._parse(routes)
        accounts = document.accounts if document else None
        if document is None:
            # Members check a document before it is appended; one that this
            # version cannot read keeps the limits in force.
            return
        bounds = self._process.settings.bounds
        named = accounts.account_by_name.values() if accounts else ()
        limits = {
            account.account: limit_of(account, bounds) for account in named
        }
        ledger.use_limits(
            {name: limit for name, limit in limits.items() if limit}, now
        )
        self._process.events.write(
            'token_limits', version=routes.version, accounts=len(limits)
        )

    def _parse(self, routes: RoutesRecord) -> RouteDocument | None:
        if not routes.source:
            return RouteDocument()
        parsed = self._route_format.parse(zlib.decompress(routes.source))
        if isinstance(parsed, Success):
            return parsed.unwrap()
        self._process.events.write(
            'routes_bad', reason=parsed.failure().show(), member='own log'
        )
        return None

    async def _relay(self, ask: AskTokens) -> TellTokens | None:
        """Send an ask to the leader, together with others; return its part."""
        if self._batch_answer is None:
            self._batch_answer = asyncio.ensure_future(self._send_batch())
        answer = self._batch_answer
        number = self._batch.add(ask.demands)
        parts = await asyncio.shield(answer)
        return TellTokens(parts[number]) if parts else None

    async def _send_batch(self) -> _Parts:
        """Ask the leader for all that was added until it is sent."""
        now = self._process.clock.now()
        await asyncio.sleep(max(self._next_batch_at - now, 0))
        self._next_batch_at = self._process.clock.now() + BATCH_INTERVAL
        batch = self._batch
        self._batch = DemandBatch()
        self._batch_answer = None
        answer = await self._links.ask(
            self._group.replica.leader,
            AskTokens(batch.merged(), relayed=True),
        )
        return batch.split(answer.grants) if answer else ()

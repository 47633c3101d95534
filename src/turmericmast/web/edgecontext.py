"""Objects that all requests of an edge share."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import final

from turmericmast.balance.uploadplan import UploadPlan
from turmericmast.clock import Clock
from turmericmast.edge.edge import Edge
from turmericmast.events import EventLog
from turmericmast.ids import TargetId, Version
from turmericmast.metrics import Metrics
from turmericmast.web.allowancegate import AllowanceGate
from turmericmast.web.crashdetection import CrashDetector
from turmericmast.web.curl import CurlClient
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.firstroutes import FirstRoutes
from turmericmast.web.framingreports import FramingReports
from turmericmast.web.headerformat import HeaderFormat
from turmericmast.web.heldbytes import HeldBytes
from turmericmast.web.loadsharing import LoadSharing
from turmericmast.web.probing import Prober
from turmericmast.web.targetstatements import TargetStatements
from turmericmast.web.tokencharge import TokenCharge


@final
@dataclasses.dataclass
class EdgeContext:
    """The edge with its HTTP client, probes, clock, metrics and log."""

    edge: Edge
    clock: Clock
    curl: CurlClient
    header_format: HeaderFormat
    prober: Prober
    load_sharing: LoadSharing
    crash_detector: CrashDetector
    metrics: Metrics
    events: EventLog
    first_routes: FirstRoutes = dataclasses.field(default_factory=FirstRoutes)
    held_bytes: HeldBytes = dataclasses.field(default_factory=HeldBytes)
    statements: TargetStatements = dataclasses.field(init=False)
    framing: FramingReports = dataclasses.field(init=False)
    allowance: AllowanceGate | None = None
    """Gets tokens for requests of limited accounts; ``None`` without a core."""
    uploads: UploadPlan = dataclasses.field(init=False)
    running: int = 0
    """Requests being sent or answered, once their body was buffered or has
    grown too large for that."""

    def __post_init__(self) -> None:
        """Create what follows from the other objects."""
        self.uploads = UploadPlan(self.curl.link_pace)
        self.statements = TargetStatements(
            self.load_sharing,
            self.clock,
            self.metrics,
            self.events,
        )
        self.framing = FramingReports(
            self._targets_at,
            self.curl.kept_connections,
            self.clock,
            self.metrics,
            self.events,
        )
        self.prober.on_stutter = self.framing.apply_stutter
        self.prober.keeps_connections = self.framing.keeps_connections
        self.prober.on_statement = self.statements.apply_health
        self.load_sharing.on_departure = self.statements.apply_news

    @property
    def routes_version(self) -> Version:
        """Return the version of the routes in use, 0 without routes."""
        table = self.edge.route_table
        return table.document.version if table else Version(0)

    def charge(self, incoming: EdgeRequest) -> TokenCharge:
        """Return what draws the token of a request."""
        return TokenCharge(self.allowance, incoming)

    def connection_headers(self) -> Mapping[str, str]:
        """Return the headers that tell a caller how long to use a connection.

        A connection that the caller uses until it is closed may be closed
        while the next request is on its way.
        """
        table = self.edge.route_table
        reuse_time = table.document.limits.reuse_time if table else 0
        if self.edge.record.is_leaving:
            return {'Connection': 'close'}
        return {'Keep-Alive': f'timeout={reuse_time}'} if reuse_time else {}

    def _targets_at(self, address: str) -> Iterable[TargetId]:
        return (
            view.record.target
            for view in self.edge.views()
            if view.record.address == address
        )

"""What every exchange of an edge shares."""

import dataclasses
from typing import final

from turmericmast.clock import Clock
from turmericmast.edge.edge import Edge
from turmericmast.events import EventLog
from turmericmast.metrics import Metrics
from turmericmast.web.crashwatch import CrashWatch
from turmericmast.web.curl import CurlClient
from turmericmast.web.dialect import Dialect
from turmericmast.web.newsroom import Newsroom
from turmericmast.web.probing import Prober


@final
@dataclasses.dataclass
class EdgeDesk:
    """The edge with its clients, clock and counters."""

    edge: Edge
    clock: Clock
    curl: CurlClient
    dialect: Dialect
    prober: Prober
    newsroom: Newsroom
    crashes: CrashWatch
    metrics: Metrics
    events: EventLog
    running: int = 0
    """Requests that have been read and not answered yet."""

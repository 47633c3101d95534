"""What every exchange of an edge shares."""

import dataclasses
from typing import final

from turmericmast.clock import Clock
from turmericmast.edge.edge import Edge
from turmericmast.events import EventLog
from turmericmast.metrics import Metrics
from turmericmast.web.crashdetection import CrashDetector
from turmericmast.web.curl import Curl
from turmericmast.web.headerformat import HeaderFormat
from turmericmast.web.loadsharing import LoadSharing
from turmericmast.web.probing import Prober


@final
@dataclasses.dataclass
class EdgeContext:
    """The edge with its clients, clock and counters."""

    edge: Edge
    clock: Clock
    curl: Curl
    header_format: HeaderFormat
    prober: Prober
    load_sharing: LoadSharing
    crash_detector: CrashDetector
    metrics: Metrics
    events: EventLog
    running: int = 0
    """Requests that have been read and not answered yet."""

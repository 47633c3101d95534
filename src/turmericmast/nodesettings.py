"""Settings of a process on a machine that finds the others by contacts."""

import dataclasses
import pathlib
from collections.abc import Mapping
from typing import final

from turmericmast.ids import DomainId, InstanceId, RegionId, Seconds


@final
@dataclasses.dataclass(frozen=True)
class ListenAddresses:
    """Addresses to listen on, IP number and port; empty for none."""

    callers: str = ''
    readiness: str = ''
    operators: str = ''
    directory: str = ''
    peers: str = ''


@final
@dataclasses.dataclass(frozen=True)
class Bounds:
    """What the operators promise their users; times in seconds."""

    grace: Seconds = Seconds(6)
    """From the signal to stop until the process is killed."""
    contact_window: Seconds = Seconds(3)
    drain: Seconds = Seconds(2)
    """From the acknowledgement of a leaving target to its last request."""
    directory_ttl: Seconds = Seconds(5)
    """Longest time that callers may keep a directory answer."""
    retry_ratio: float = 0.2
    """Repeats for each request of a service, over all instances."""
    retry_window: Seconds = Seconds(10)
    retry_slack: float = 60.0
    """Repeats in one window beyond the ratio, over all instances."""
    cold_slack: float = 5.0
    """Requests in one second that a cold target bears beyond its rate."""
    probe_rate: float = 60.0
    """Probes a second that a target bears from all instances."""
    report_interval: Seconds = Seconds(2)
    """Time between two reports of a target."""


@final
@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Everything that one process is told."""

    name: str
    region: RegionId
    domain: DomainId
    listening: ListenAddresses
    contacts: tuple[str, ...]
    """Addresses for peers of some core members; some may be out of date."""
    region_by_domain: Mapping[DomainId, RegionId]
    bounds: Bounds = Bounds()
    data: pathlib.Path | None = None
    is_first_start: bool = False
    """Whether the whole system starts for the first time."""
    operators_port: int = 0
    """Port at which every core member serves operators and targets."""
    events: pathlib.Path | None = None
    logs_to_stdout: bool = True
    """Whether events go to standard output, as JSON lines."""

    @property
    def instance(self) -> InstanceId:
        """Return the name as that of an instance."""
        return InstanceId(self.name)

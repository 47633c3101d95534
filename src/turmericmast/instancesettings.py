"""Settings of an edge or a core member.

It learns of its peers from a few core members, the contacts.
"""

import dataclasses
import enum
import pathlib
from collections.abc import Mapping
from typing import final

from turmericmast.ids import DomainId, InstanceId, RegionId, Seconds


@final
class Contract(enum.Enum):
    """Parts of the system that a deployment may have in force."""

    rollout = 'rollout'
    """Targets get requests by their version, which rollouts change."""


@final
@dataclasses.dataclass(frozen=True)
class ListenAddresses:
    """Addresses to listen on, as ``IP:port``; empty to serve none."""

    callers: str = ''
    readiness: str = ''
    operators: str = ''
    """For operators and for reports of targets, at a core member."""
    directory: str = ''
    peers: str = ''
    """For edges and core members."""


@final
@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits that the operators promise to their users; times in seconds."""

    grace: Seconds = Seconds(6)
    """Time from the signal to stop until the process is killed."""
    drain: Seconds = Seconds(2)
    """Time from acknowledging that a target leaves to its last request."""
    directory_ttl: Seconds = Seconds(5)
    """Longest time that callers may cache an answer of the directory."""
    retry_ratio: float = 0.2
    """Retries for each request of a service, over all instances."""
    retry_window: Seconds = Seconds(10)
    """Time over which retries and requests are counted."""
    retry_slack: float = 60.0
    """Retries in a window beyond the ratio, over all instances."""
    probe_rate: float = 60.0
    """Health probes in a second that a target accepts from all instances."""
    report_interval: Seconds = Seconds(2)
    """Time between two reports of a target."""
    revocation: Seconds | None = None
    """Time from acknowledging a revoked key to the last request with it.

    It holds on all instances, connected or not; ``None`` if it need not."""
    quota_window: Seconds = Seconds(5)
    """Time over which the requests of a client account are counted."""
    quota_overage: float = 0.1
    """Requests beyond an account's limit in a window, as a share of it."""
    quota_slack: float = 20.0
    """Requests beyond an account's limit and its overage in a window."""
    exposure_share: float = 0.1
    """Largest share of a service's requests that a bad version may get."""
    exposure_slack: float = 50.0
    """Requests that a bad version may get beyond its share."""
    rollback: Seconds = Seconds(5)
    """Time from evidence against a version to the last request to it."""


@final
@dataclasses.dataclass(frozen=True)
class HostLimits:
    """What the host allows one process; 0 where it is not known."""

    memory_bytes: int = 0
    """Memory at which the process is killed."""
    descriptors: int = 0
    """Files and sockets that it may have open."""
    link_rate: float = 0
    """Octets a second that the link of the host carries each way."""


@final
@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """The settings of one process."""

    name: str
    """Name of the process, unique in the cluster."""
    region: RegionId
    domain: DomainId
    listening: ListenAddresses
    contacts: tuple[str, ...]
    """Peer addresses of core members to start from; some may be out of date."""
    region_by_domain: Mapping[DomainId, RegionId]
    bounds: Bounds = Bounds()
    host_limits: HostLimits = HostLimits()
    local_contact: str = ''
    """Peer address of the core member on the same host.

    Empty on a host without a disk, where none runs."""
    data: pathlib.Path | None = None
    """Data folder of a core member."""
    is_first_start: bool = False
    """Whether to bootstrap the cluster: it starts for the first time."""
    operators_port: int = 0
    """Port at which every core member serves operators and targets."""
    events: pathlib.Path | None = None
    """File for events, ``None`` to write no file."""
    logs_to_stdout: bool = True
    """Whether events go to standard output, as JSON lines."""
    contracts: frozenset[Contract] = frozenset()
    """Parts in force, as far as this build knows them."""

    @property
    def instance(self) -> InstanceId:
        """Return the instance id, which is the name of the process."""
        return InstanceId(self.name)

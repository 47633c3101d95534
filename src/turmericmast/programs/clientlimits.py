"""What clients, targets and neighbours may make a process hold."""

import resource
from typing import TYPE_CHECKING

from turmericmast.limits.processlimits import ProcessLimits, divide
from turmericmast.web.connectionguard import ConnectionGuard

if TYPE_CHECKING:
    from turmericmast.instancesettings import InstanceSettings
    from turmericmast.programs.runner import Process
    from turmericmast.web.curl import CurlClient

RUSAGE_UNIT = 1024
"""Bytes of the unit in which the kernel reports a resident size."""


def find_limits(process: 'Process[InstanceSettings]') -> ProcessLimits:
    """Return the limits that the settings give, from what is used now."""
    host = process.settings.host_limits
    used = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * RUSAGE_UNIT
    descriptors = host.descriptors
    if descriptors:
        soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = min(descriptors, soft)
    return divide(host.memory_bytes, used, descriptors)


def open_guard(
    process: 'Process[InstanceSettings]', limits: ProcessLimits
) -> ConnectionGuard | None:
    """Return the guard of accepted connections, ``None`` without limits."""
    if not limits.held_octets and not limits.connections:
        return None
    process.events.write(
        'client_limits',
        held=limits.held_octets,
        connections=limits.connections,
    )
    process.context.long_frames.max_octets = limits.long_frame_octets
    process.context.first_frames.max_octets = limits.first_frame_octets
    return ConnectionGuard(
        limits, process.clock, process.metrics, process.events
    )


def limit_clients(
    process: 'Process[InstanceSettings]', curl: 'CurlClient'
) -> ConnectionGuard | None:
    """Return the guard of an edge, whose targets need descriptors, too."""
    limits = find_limits(process)
    if limits.connections:
        curl.limit_connections(limits.connections, limits.lingering)
    return open_guard(process, limits)

"""Types of identifiers, log positions and times.

Ids are opaque strings or integers; ``NewType`` lets the type checker tell them
apart and costs nothing at run time.
"""

from typing import NewType

RegionId = NewType('RegionId', str)
DomainId = NewType('DomainId', str)
"""A failure domain of a region."""
InstanceId = NewType('InstanceId', str)
"""Id of a process: the name that its settings give."""
ServiceId = NewType('ServiceId', str)
TargetId = NewType('TargetId', str)
TenantId = NewType('TenantId', str)
"""Id of a client account; a queue is shared fairly between tenants."""
ApiKey = NewType('ApiKey', str)
"""Secret by which the requests of a client account are recognised."""
ChangeId = NewType('ChangeId', str)
"""A change by operators; a resend of the change has the same id."""
CallId = NewType('CallId', str)
"""Random id that an entry or an edge gives to a call."""
AttemptId = NewType('AttemptId', str)
"""Id of one attempt of a call, which the target sends back."""
RequestKey = NewType('RequestKey', str)
"""The idempotency key of a request."""
Fingerprint = NewType('Fingerprint', str)
"""Hash of a request, by which resends of it are recognised."""
Digest = NewType('Digest', str)
"""Hash of a document."""

MemberId = NewType('MemberId', str)
Incarnation = NewType('Incarnation', str)
"""Distinguishes the starts of a process, or of a target, with one id.

A member of a replicated group keeps it over restarts, until it loses its data.
"""

Born = NewType('Born', int)
"""Start time of a target, milliseconds since the epoch.

Named after the field ``born`` of reports."""
RouteName = NewType('RouteName', str)

Term = NewType('Term', int)
"""Term of a leader of a replicated group; each election starts a new one."""
Index = NewType('Index', int)
"""Position in the log of a replicated group."""
Epoch = NewType('Epoch', int)
"""Tells the sessions of one entry apart."""
Version = NewType('Version', int)
"""Version of a fleet document or a route document."""

TargetVersion = NewType('TargetVersion', str)
"""Version of a target's program, as the target reports it."""

Millis = NewType('Millis', int)
"""A point in time or a duration in milliseconds."""

Seconds = NewType('Seconds', float)
"""A point on a monotonic clock or a duration in seconds."""

"""Identifiers shared by every aggregate.

All ids are opaque strings or integers; ``NewType`` keeps them apart at type
checking time and costs nothing at run time.
"""

from typing import NewType

RegionId = NewType('RegionId', str)
DomainId = NewType('DomainId', str)
InstanceId = NewType('InstanceId', str)
ServiceId = NewType('ServiceId', str)
TargetId = NewType('TargetId', str)
TenantId = NewType('TenantId', str)
ChangeId = NewType('ChangeId', str)
CallId = NewType('CallId', str)
RequestKey = NewType('RequestKey', str)
Fingerprint = NewType('Fingerprint', str)
Digest = NewType('Digest', str)

GroupId = NewType('GroupId', str)
MemberId = NewType('MemberId', str)
Incarnation = NewType('Incarnation', str)

Born = NewType('Born', int)
"""Milliseconds since the epoch at which a target started."""
RouteName = NewType('RouteName', str)

Term = NewType('Term', int)
Index = NewType('Index', int)
Epoch = NewType('Epoch', int)
Version = NewType('Version', int)

Millis = NewType('Millis', int)
"""A point in time or a duration in milliseconds."""

Seconds = NewType('Seconds', float)
"""A point on a monotonic clock or a duration in seconds."""

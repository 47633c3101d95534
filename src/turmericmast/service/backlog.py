"""The bounded queue of a service, shared fairly between tenants."""

import collections
import dataclasses
from typing import final

from turmericmast.ids import CallId, Seconds, TargetId, TenantId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class QueuedCall:
    """A call that waits for a free slot of a target."""

    call: CallId
    tenant: TenantId
    deadline: Seconds
    avoid: TargetId = TargetId('')
    """The target of the previous, failed attempt; empty for the first."""


@final
class Backlog:
    """First-in, first-out queues per tenant, served in round-robin order."""

    def __init__(self, limit: int) -> None:
        """Hold at most ``limit`` calls of all tenants together."""
        self.limit = limit
        self._queue_by_tenant: collections.OrderedDict[
            TenantId,
            collections.OrderedDict[CallId, QueuedCall],
        ] = collections.OrderedDict()
        self._tenant_by_call: dict[CallId, TenantId] = {}

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self._tenant_by_call)

    def has_room(self, tenant: TenantId) -> bool:
        """Tell whether a tenant may queue one more call.

        Once the queue is half full, each tenant may hold only an equal share
        of the limit, with one share left for a tenant that is not queued yet.
        """
        if len(self) >= self.limit:
            return False
        queue = self._queue_by_tenant.get(tenant)
        tenants = len({*self._queue_by_tenant, tenant})
        share = max(self.limit // (tenants + 1), 1)
        return 2 * len(self) < self.limit or len(queue or ()) < share

    def push(self, queued_call: QueuedCall) -> None:
        """Queue a call behind the other calls of its tenant."""
        queue = self._queue_by_tenant.setdefault(
            queued_call.tenant,
            collections.OrderedDict(),
        )
        queue[queued_call.call] = queued_call
        self._tenant_by_call[queued_call.call] = queued_call.tenant

    def pop(self) -> QueuedCall | None:
        """Remove and return the oldest call of the tenant whose turn it is."""
        if not self._queue_by_tenant:
            return None
        tenant = next(iter(self._queue_by_tenant))
        call = next(iter(self._queue_by_tenant[tenant]))
        queued_call = self.remove(call)
        if tenant in self._queue_by_tenant:
            self._queue_by_tenant.move_to_end(tenant)
        return queued_call

    def remove(self, call: CallId) -> QueuedCall | None:
        """Remove and return a call; return ``None`` if it is not queued."""
        tenant = self._tenant_by_call.pop(call, None)
        if tenant is None:
            return None
        queue = self._queue_by_tenant[tenant]
        queued_call = queue.pop(call)
        if not queue:
            self._queue_by_tenant.pop(tenant)
        return queued_call

    def calls(self) -> list[CallId]:
        """Return the ids of all queued calls."""
        return list(self._tenant_by_call)

    def calls_due_before(self, deadline: Seconds) -> list[CallId]:
        """Return the ids of the queued calls with an earlier deadline."""
        return [
            queued_call.call
            for queue in self._queue_by_tenant.values()
            for queued_call in queue.values()
            if queued_call.deadline < deadline
        ]

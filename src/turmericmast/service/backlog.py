"""The queue of a service: fair between tenants, bounded, by deadline."""

import collections
import dataclasses
from typing import final

from turmericmast.ids import CallId, Seconds, TargetId, TenantId


@final
@dataclasses.dataclass(frozen=True, slots=True)
class QueuedCall:
    """A call that waits for a target."""

    call: CallId
    tenant: TenantId
    deadline: Seconds
    avoid: TargetId = TargetId('')
    """A target that already failed this call."""


@final
class Backlog:
    """One first-in first-out line per tenant, served in turn."""

    def __init__(self, limit: int) -> None:
        """Hold at most ``limit`` calls."""
        self.limit = limit
        self._line_by_tenant: collections.OrderedDict[
            TenantId,
            collections.OrderedDict[CallId, QueuedCall],
        ] = collections.OrderedDict()
        self._tenant_by_call: dict[CallId, TenantId] = {}

    def __len__(self) -> int:
        """Return the number of calls that wait."""
        return len(self._tenant_by_call)

    def has_room(self, tenant: TenantId) -> bool:
        """Tell whether a tenant may queue one more call.

        A tenant that fills the queue alone keeps room for the others: above
        half of the limit each tenant has only its equal share.
        """
        if len(self) >= self.limit:
            return False
        line = self._line_by_tenant.get(tenant)
        tenants = len({*self._line_by_tenant, tenant})
        share = max(self.limit // (tenants + 1), 1)
        return 2 * len(self) < self.limit or len(line or ()) < share

    def push(self, waiting: QueuedCall) -> None:
        """Queue a call behind the others of its tenant."""
        line = self._line_by_tenant.setdefault(
            waiting.tenant,
            collections.OrderedDict(),
        )
        line[waiting.call] = waiting
        self._tenant_by_call[waiting.call] = waiting.tenant

    def pop(self) -> QueuedCall | None:
        """Take the next call: the oldest of the tenant whose turn it is."""
        if not self._line_by_tenant:
            return None
        tenant = next(iter(self._line_by_tenant))
        call = next(iter(self._line_by_tenant[tenant]))
        waiting = self.remove(call)
        if tenant in self._line_by_tenant:
            self._line_by_tenant.move_to_end(tenant)
        return waiting

    def remove(self, call: CallId) -> QueuedCall | None:
        """Take out one call, wherever it stands."""
        tenant = self._tenant_by_call.pop(call, None)
        if tenant is None:
            return None
        line = self._line_by_tenant[tenant]
        waiting = line.pop(call)
        if not line:
            self._line_by_tenant.pop(tenant)
        return waiting

    def expired(self, now: Seconds) -> list[CallId]:
        """Return the calls whose deadline has passed."""
        return [
            waiting.call
            for line in self._line_by_tenant.values()
            for waiting in line.values()
            if waiting.deadline <= now
        ]

    def calls(self) -> list[CallId]:
        """Return all calls that wait."""
        return list(self._tenant_by_call)

"""Logs when an instance begins or ceases to rely on its accounts."""

from typing import final

from turmericmast.edge.keyfence import KeyTrust
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgeevents import EdgeEvent


@final
class KeyTrustWatch:
    """Follows how far the accounts may be relied on."""

    def __init__(self, context: EdgeContext) -> None:
        """Watch the edge of ``context``."""
        self._context = context
        self._logged = KeyTrust.fresh
        fence = context.edge.key_fence
        if fence.freshness.is_wanted:
            context.metrics.gauge(
                'proof_age_seconds',
                lambda: fence.proof_age(context.clock.now()),
            )

    def check(self) -> None:
        """Log a change, if there is one."""
        fence = self._context.edge.key_fence
        now = self._context.clock.now()
        trust = fence.trust(now)
        if trust is self._logged:
            return
        self._logged = trust
        age = min(fence.proof_age(now), MILLIS_PER_SECOND)
        self._context.events.write(
            EdgeEvent.key_trust_changed.value,
            trust=trust.value,
            proof_ms=int(age * MILLIS_PER_SECOND),
            cluster_index=self._context.edge.index,
            version=self._context.routes_version,
        )

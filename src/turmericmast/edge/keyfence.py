"""Whether requests on keys of client accounts may run at an instance."""

import enum
from typing import final

from turmericmast.edge.freshness import Freshness
from turmericmast.ids import Seconds

MARGIN_SHARE = 0.05
"""Part of the bound that is kept back: 0.25 s of 5 s.

It covers clocks that run at different rates (below 0.1 %), 8 ms between regions
and a pause of the process between the check and the first byte."""
READY_SHARE = 0.6
"""Age of the proof, as part of the bound, from which callers go elsewhere.

Proofs are renewed about once a second. From 3 s of 5 s on, contact is lost
rather than slow, and callers need time to find another instance."""


@final
class KeyTrust(enum.Enum):
    """How far an instance may rely on the accounts that it knows."""

    fresh = 'fresh'
    """No older change is missing, or that need not be proven."""
    ageing = 'ageing'
    """The same, but the bound is near: new callers should go elsewhere."""
    stale = 'stale'
    """A key may have been revoked: no request on a key may run."""


@final
class KeyFence:
    """Keeps revoked keys out: requests on keys need a recent proof."""

    def __init__(
        self, revocation: Seconds | None, freshness: Freshness
    ) -> None:
        """Allow requests on keys within ``revocation`` s after a proof.

        ``None`` stands for no such bound: they always run.
        """
        self._revocation = revocation
        self.freshness = freshness

    def trust(self, now: Seconds) -> KeyTrust:
        """Return how far the accounts may be relied on."""
        if self._is_within(1 - MARGIN_SHARE, now):
            is_ready = self._is_within(READY_SHARE, now)
            return KeyTrust.fresh if is_ready else KeyTrust.ageing
        return KeyTrust.stale

    def admits(self, sent_at: Seconds) -> bool:
        """Tell whether a request on a key that was sent then may run."""
        return self._is_within(1 - MARGIN_SHARE, sent_at)

    def proof_age(self, now: Seconds) -> float:
        """Return the seconds since the proof, infinity without one."""
        return now - self.freshness.proven_at

    def _is_within(self, share: float, now: Seconds) -> bool:
        if self._revocation is None:
            return True
        return self.freshness.is_fresh(now, Seconds(share * self._revocation))

"""What one instance knows of one target, and how old that is."""

import enum
import math
from typing import final

from turmericmast.balance.load import LoadReport
from turmericmast.call.call import Loss
from turmericmast.cluster.records import TargetRecord
from turmericmast.ids import RegionId, Seconds

VERIFICATION_LIFETIME = 1.0
"""Seconds for which a target that said it is warm is taken for warm.

At the usual rates a target that turns cold unnoticed gets far fewer requests
in this time than the slack that cold targets bear."""
FIRST_EJECTION = 0.2
"""Seconds without requests after a lost connection."""
MAX_EJECTION = 2.0
OVERLOAD_PAUSE = 0.05
"""Seconds without requests after a target refused one as full."""
FAILURE_WEIGHT = 0.2
"""Weight of the newest answer in the share of failed ones."""
FAILURE_HALF_LIFE = 4.0
"""Seconds in which the memory of failed answers halves."""


@final
class Eligibility(enum.Enum):
    """What may be sent to a target."""

    warm = 'warm'
    cold = 'cold'
    """A few requests only."""
    unverified = 'unproved'
    """Nothing until it has answered a probe."""
    ejected = 'shunned'
    """Nothing, not even a probe, for a while."""


@final
class TargetView:
    """One target as its answers show it."""

    def __init__(
        self,
        record: TargetRecord,
        region: RegionId,
        spread_rank: float = 0,
    ) -> None:
        """Know nothing yet."""
        self.record = record
        self.region = region
        self.spread_rank = spread_rank
        """From 0 to 1; tells apart, for this instance alone, far targets
        that are alike."""
        self.report = LoadReport(0, 0, record.slots)
        self.reported_at = -math.inf
        self.in_flight = 0
        """Requests of this instance that the target has not answered."""
        self.probed_at: float = -math.inf
        self.sent_at: float = -math.inf
        self.is_unhealthy = False
        """Whether it said last that it is not healthy."""
        self._unreported = 0
        """Own requests sent after the report was made."""
        self._verified_at = -math.inf
        self._cold_until = -math.inf
        self._ejected_until = -math.inf
        self._ejections = 0
        self._failure_share = float(0)
        self._failure_share_at = float(0)

    def eligibility(self, now: Seconds) -> Eligibility:
        """Return what may be sent now."""
        if now < self._ejected_until:
            return Eligibility.ejected
        if now < self._cold_until:
            return Eligibility.cold
        if now - self._verified_at > VERIFICATION_LIFETIME:
            return Eligibility.unverified
        return Eligibility.warm

    def verification_age(self, now: Seconds) -> float:
        """Return the seconds since the target told that it is there."""
        return now - self._verified_at

    def cold_time_left(self, now: Seconds) -> float:
        """Return the seconds for which the target stays cold."""
        return max(self._cold_until - now, 0)

    def report_age(self, now: Seconds) -> float:
        """Return the seconds since the load was reported."""
        return now - self.reported_at

    def outstanding(self) -> int:
        """Return the requests at the target, as far as known."""
        seen = self.report.running + self.report.waiting
        return max(seen + self._unreported, self.in_flight)

    def failure_share(self, now: Seconds) -> float:
        """Return the share of answers that failed lately."""
        age = now - self._failure_share_at
        return self._failure_share * 0.5 ** (age / FAILURE_HALF_LIFE)

    def update_load(self, report: LoadReport, now: Seconds) -> None:
        """Take a load report that came with an answer."""
        self.report = report
        self.reported_at = now
        self._unreported = 0

    def count_peer_request(self) -> None:
        """Count a request that another instance is about to send."""
        self._unreported += 1

    def verify(self, cold_time_left: Seconds, now: Seconds) -> None:
        """Take the word of the target itself that it is there."""
        self._verified_at = now
        self._cold_until = (
            now + cold_time_left if cold_time_left > 0 else -math.inf
        )
        self._ejections = 0

    def mark_unverified(self) -> None:
        """Another instance lost the target: ask before sending."""
        self._verified_at = -math.inf

    def eject(self, now: Seconds) -> None:
        """Send nothing more until the target has answered a probe."""
        self._verified_at = -math.inf
        self._cold_until = -math.inf
        pause = min(FIRST_EJECTION * 2**self._ejections, MAX_EJECTION)
        self._ejections = min(self._ejections + 1, 8)
        self._ejected_until = now + pause

    def ejected_until(self) -> float:
        """Return when a pause ends that keeps requests away."""
        return self._ejected_until

    def eject_misplaced(self) -> None:
        """Send nothing: another target has its address now."""
        self._ejected_until = math.inf

    def begin_request(self) -> None:
        """Count a request that is about to be sent."""
        self.in_flight += 1
        self._unreported += 1

    def end_request(self, loss: Loss | None, now: Seconds) -> None:
        """Learn from how a request ended."""
        self.in_flight -= 1
        failed = loss in {Loss.failed, Loss.cut_short, Loss.timed_out}
        self._update_failure_share(failed=failed, now=now)
        if loss is Loss.shed:
            self._ejected_until = max(self._ejected_until, now + OVERLOAD_PAUSE)
        elif loss in {Loss.never_sent, Loss.connection_lost}:
            self.eject(now)

    def drop_request(self) -> None:
        """Forget a request that was cancelled here."""
        self.in_flight -= 1

    def _update_failure_share(self, *, failed: bool, now: Seconds) -> None:
        failed_share = self.failure_share(now)
        self._failure_share = failed_share + FAILURE_WEIGHT * (
            failed - failed_share
        )
        self._failure_share_at = now

"""What one instance knows of one target, and how old that is."""

import enum
import math
from typing import final

from turmericmast.balance.load import LoadReport
from turmericmast.call.call import Loss
from turmericmast.cluster.records import TargetRecord
from turmericmast.ids import RegionId, Seconds

PROOF_LIFE = 1.0
"""Seconds for which a target that said it is warm is taken for warm.

At the usual rates a target that turns cold unnoticed gets far fewer requests
in this time than the slack that cold targets bear."""
SHUN_FIRST = 0.2
"""Seconds without requests after a lost connection."""
SHUN_LONGEST = 2.0
FULL_PAUSE = 0.05
"""Seconds without requests after a target refused one as full."""
RISK_WEIGHT = 0.2
"""Weight of the newest answer in the share of failed ones."""
RISK_HALF_LIFE = 4.0
"""Seconds in which the memory of failed answers halves."""


@final
class Trust(enum.Enum):
    """What may be sent to a target."""

    warm = 'warm'
    cold = 'cold'
    """A few requests only."""
    unproved = 'unproved'
    """Nothing until it has answered a probe."""
    shunned = 'shunned'
    """Nothing, not even a probe, for a while."""


@final
class Standing:
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
        self.is_ill = False
        """Whether it said last that it is not healthy."""
        self._unseen = 0
        """Own requests sent after the report was made."""
        self._proved_at = -math.inf
        self._cold_until = -math.inf
        self._shunned_until = -math.inf
        self._failures = 0
        self._risk = float(0)
        self._risk_at = float(0)

    def trust(self, now: Seconds) -> Trust:
        """Return what may be sent now."""
        if now < self._shunned_until:
            return Trust.shunned
        if now < self._cold_until:
            return Trust.cold
        if now - self._proved_at > PROOF_LIFE:
            return Trust.unproved
        return Trust.warm

    def proof_age(self, now: Seconds) -> float:
        """Return the seconds since the target told that it is there."""
        return now - self._proved_at

    def cold_left(self, now: Seconds) -> float:
        """Return the seconds for which the target stays cold."""
        return max(self._cold_until - now, 0)

    def age(self, now: Seconds) -> float:
        """Return the seconds since the load was reported."""
        return now - self.reported_at

    def busy(self) -> int:
        """Return the requests at the target, as far as known."""
        seen = self.report.running + self.report.waiting
        return max(seen + self._unseen, self.in_flight)

    def risk(self, now: Seconds) -> float:
        """Return the share of answers that failed lately."""
        age = now - self._risk_at
        return self._risk * 0.5 ** (age / RISK_HALF_LIFE)

    def hear_load(self, report: LoadReport, now: Seconds) -> None:
        """Take a load report that came with an answer."""
        self.report = report
        self.reported_at = now
        self._unseen = 0

    def expect(self) -> None:
        """Count a request that another instance is about to send."""
        self._unseen += 1

    def prove(self, cold_left: Seconds, now: Seconds) -> None:
        """Take the word of the target itself that it is there."""
        self._proved_at = now
        self._cold_until = now + cold_left if cold_left > 0 else -math.inf
        self._failures = 0

    def disprove(self) -> None:
        """Another instance lost the target: ask before sending."""
        self._proved_at = -math.inf

    def doubt(self, now: Seconds) -> None:
        """Send nothing more until the target has answered a probe."""
        self._proved_at = -math.inf
        self._cold_until = -math.inf
        pause = min(SHUN_FIRST * 2**self._failures, SHUN_LONGEST)
        self._failures = min(self._failures + 1, 8)
        self._shunned_until = now + pause

    def opens_at(self) -> float:
        """Return when a pause ends that keeps requests away."""
        return self._shunned_until

    def shun_misplaced(self) -> None:
        """Send nothing: another target has its address now."""
        self._shunned_until = math.inf

    def start(self) -> None:
        """Count a request that is about to be sent."""
        self.in_flight += 1
        self._unseen += 1

    def end(self, loss: Loss | None, now: Seconds) -> None:
        """Learn from how a request ended."""
        self.in_flight -= 1
        failed = loss in {Loss.failed, Loss.cut_short, Loss.timed_out}
        self._note_risk(failed=failed, now=now)
        if loss is Loss.shed:
            self._shunned_until = max(self._shunned_until, now + FULL_PAUSE)
        elif loss in {Loss.never_sent, Loss.connection_lost}:
            self.doubt(now)

    def leave(self) -> None:
        """Forget a request that was cancelled here."""
        self.in_flight -= 1

    def _note_risk(self, *, failed: bool, now: Seconds) -> None:
        risk = self.risk(now)
        self._risk = risk + RISK_WEIGHT * (failed - risk)
        self._risk_at = now

"""One instance's knowledge of one target: load, health and ejection."""

import enum
import math
from typing import final

from turmericmast.balance.backoff import Backoff
from turmericmast.balance.confirmation import Confirmation
from turmericmast.balance.departure import Departure
from turmericmast.balance.load import LoadReport
from turmericmast.balance.path import Path
from turmericmast.balance.pause import Pause
from turmericmast.call.call import Loss
from turmericmast.cluster.records import TargetRecord
from turmericmast.ids import RegionId, Seconds
from turmericmast.instancesettings import Bounds

FIRST_EJECTION = 0.2
"""Seconds of ejection after a lost connection; doubles each further time."""
MAX_EJECTION = 2.0
"""Longest ejection after lost connections, in seconds."""
OVERLOAD_PAUSE = 0.05
"""Seconds of ejection after a target shed a request because it was full."""
FAILURE_WEIGHT = 0.2
"""Weight of the newest answer in the moving average of failures."""
FAILURE_HALF_LIFE = 4.0
"""Seconds without answers after which the failure share has halved."""


@final
class Eligibility(enum.Enum):
    """Which traffic a target may receive; the values are written to events."""

    warm = 'warm'
    """Any number of requests."""
    cold = 'cold'
    """A limited rate of requests from a few instances (slow start)."""
    unverified = 'unproved'
    """Probes only; requests once it has answered a probe."""
    unreachable = 'unreachable'
    """Probes only, until this instance itself gets an answer from it."""
    ejected = 'shunned'
    """Neither requests nor probes until the ejection ends."""

    @property
    def needs_probe(self) -> bool:
        """Tell whether a probe must precede the next request."""
        return self in {Eligibility.unverified, Eligibility.unreachable}


@final
class TargetView:
    """What this instance has learned of one target.

    The knowledge comes from the answers of the target and from the load
    reports of other instances.
    """

    def __init__(
        self,
        record: TargetRecord,
        region: RegionId,
        spread_rank: float = 0,
        drain: Seconds = Bounds.drain,
    ) -> None:
        """Begin unverified and without a load report.

        ``drain`` is how long a leaving target takes requests.
        """
        self.record = record
        self.region = region
        self.spread_rank = spread_rank
        """From 0 to 1, different in each instance, so that instances rank
        equally good targets differently."""
        self.report = LoadReport(0, 0, record.slots)
        self.reported_at = -math.inf
        """When the target made the newest load report."""
        self.in_flight = 0
        """Requests that this instance has sent and that are not answered."""
        self.probed_at: float = -math.inf
        """When this instance last began a probe of the target."""
        self.sent_at: float = -math.inf
        """When this instance last sent a request to the target."""
        self.is_unhealthy = False
        """Whether the last health check returned another status than 200."""
        self.departure = Departure(drain)
        self.pause = Pause(spread_rank)
        self.path = Path()
        self._unreported = 0
        """Requests since the newest report: own ones and announced ones."""
        self._confirmation = Confirmation()
        self._ejected_until = -math.inf
        self._ejections = Backoff()
        self._rejections = Backoff()
        self._failure_share = float(0)
        """Moving average at ``_failure_share_at``, from which it decays."""
        self._failure_share_at = float(0)

    def eligibility(self, now: Seconds) -> Eligibility:
        """Return which traffic the target may receive now."""
        if now < self._ejected_until:
            return Eligibility.ejected
        if self.path.is_lost:
            return Eligibility.unreachable
        if self._confirmation.cold_time_left(now):
            return Eligibility.cold
        if not self._confirmation.is_valid(now):
            return Eligibility.unverified
        return Eligibility.warm

    def verification_age(self, now: Seconds) -> float:
        """Return the seconds since the target last confirmed that it is up."""
        return self._confirmation.age(now)

    @property
    def confirmation(self) -> Confirmation:
        """Return what the target itself has said of being up."""
        return self._confirmation

    def cold_time_left(self, now: Seconds) -> float:
        """Return the seconds until the target is warm, 0 if it is."""
        return self._confirmation.cold_time_left(now)

    def report_age(self, now: Seconds) -> float:
        """Return the seconds since the newest load report was made."""
        return now - self.reported_at

    def outstanding(self) -> int:
        """Return the estimated number of requests running and queued there."""
        reported = self.report.running + self.report.waiting
        return max(reported + self._unreported, self.in_flight)

    def has_free_slot(self) -> bool:
        """Tell whether a request would run at once, as far as is known."""
        return self.outstanding() < max(self.report.slots, 1)

    def failure_share(self, now: Seconds) -> float:
        """Return the recent share of failed answers, from 0 to 1."""
        age = now - self._failure_share_at
        return self._failure_share * 0.5 ** (age / FAILURE_HALF_LIFE)

    def update_load(self, report: LoadReport, now: Seconds) -> None:
        """Store a load report that was made at ``now``."""
        self.report = report
        self.reported_at = now
        self._unreported = 0

    def count_peer_request(self) -> None:
        """Count a request that another instance is about to send."""
        self._unreported += 1
        self._confirmation.count_request()

    def verify(
        self,
        cold_time_left: Seconds,
        now: Seconds,
        *,
        is_own: bool = True,
    ) -> None:
        """Record that the target itself confirmed at ``now`` that it is up.

        It is cold for ``cold_time_left`` seconds from then on. Another instance
        received the confirmation unless it ``is_own``.
        """
        self._confirmation.renew(cold_time_left, now, is_own=is_own)

    def confirm_path(self, now: Seconds) -> None:
        """Record that the target answered this instance at ``now``."""
        self.path.confirm(now)
        self._ejections.reset()

    def mark_unverified(self) -> None:
        """Require a probe before the next request.

        Called when a probe or connection of another instance was lost.
        """
        self._confirmation.withdraw()

    def lose_path(self, now: Seconds) -> None:
        """Record that a connection or probe did not get through: eject.

        Confirmations that other instances received do not count until the
        target has answered this one.
        """
        self.eject(now)
        self.path.lose(self._ejected_until)

    def eject(self, now: Seconds) -> None:
        """Stop all traffic for a backoff that doubles, then require a probe."""
        self._confirmation.forget()
        self._ejected_until = now + self._ejections.pause(
            FIRST_EJECTION, MAX_EJECTION
        )

    def ejected_until(self) -> float:
        """Return the time at which the ejection ends."""
        return self._ejected_until

    def eject_misplaced(self) -> None:
        """Eject for good, since another target now listens at the address."""
        self._ejected_until = math.inf

    def begin_request(self) -> None:
        """Count a request that this instance is about to send."""
        self.in_flight += 1
        self._unreported += 1
        self._confirmation.count_request()

    def end_request(
        self, loss: Loss | None, now: Seconds, *, is_malformed: bool = False
    ) -> None:
        """Count a finished request and update the health from its outcome.

        ``loss`` is ``None`` after a success. After a response that
        ``is_malformed``, the target is ejected for a backoff that doubles until
        it answers a request: it may answer its health checks well meanwhile.
        """
        self.in_flight -= 1
        failed = loss in {Loss.failed, Loss.cut_short, Loss.timed_out}
        self._update_failure_share(failed=failed or is_malformed, now=now)
        if is_malformed:
            self._confirmation.forget()
            pause = self._rejections.pause(FIRST_EJECTION, MAX_EJECTION)
            self._ejected_until = max(self._ejected_until, now + pause)
            return
        if loss is Loss.shed:
            self.confirm_path(now)
            self._ejected_until = max(self._ejected_until, now + OVERLOAD_PAUSE)
        elif loss is Loss.connection_lost:
            self.eject(now)
        elif loss is Loss.never_sent:
            self.lose_path(now)
        elif loss in {None, Loss.failed}:
            self.confirm_path(now)
            self._rejections.reset()

    def drop_request(self) -> None:
        """Stop counting a request whose outcome says nothing of the target.

        It was cancelled or withheld by this instance, or its answer came too
        late to be used.
        """
        self.in_flight -= 1

    def _update_failure_share(self, *, failed: bool, now: Seconds) -> None:
        previous_share = self.failure_share(now)
        self._failure_share = previous_share + FAILURE_WEIGHT * (
            failed - previous_share
        )
        self._failure_share_at = now

"""The call aggregate: one request, its attempts and the retry rules."""

import dataclasses
import enum
import hashlib
from typing import final

from turmericmast.ids import (
    CallId,
    Fingerprint,
    RegionId,
    RequestKey,
    Seconds,
    ServiceId,
    TenantId,
)

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
"""HTTP methods whose requests may run twice, unless the route differs."""
MAX_HOPS = 2
"""Times that a call may be forwarded; only the first may be within a region."""
MAX_ATTEMPTS = 2
"""Attempts of an idempotent call, at the level that sees the failure."""
MAX_NOT_RUN_ATTEMPTS = 4
"""Attempts of a call that certainly has not run yet, whatever its method."""
FINGERPRINT_LENGTH = 32
"""Hexadecimal digits of a request fingerprint."""
MAX_DEPTH = 64
"""Nested calls; deeper nesting is treated as a request loop."""


@final
class Ran(enum.Enum):
    """Whether a target ran a request; sent as ``Turmericmast-Ran``."""

    no = 'no'
    yes = 'yes'
    unknown = 'unknown'


@final
class Loss(enum.Enum):
    """How an attempt failed; the values are metric labels and log fields."""

    never_sent = 'never_sent'
    """The request did not reach the target."""
    shed = 'shed'
    """The target rejected the request and says that it did not run."""
    connection_lost = 'connection_lost'
    """The connection broke before an answer began."""
    timed_out = 'timed_out'
    """No complete answer arrived in time."""
    cut_short = 'cut_short'
    """The answer ended before it was complete."""
    failed = 'failed'
    """A complete answer that reports a failure of the target."""


NOT_RUN_LOSSES = frozenset((Loss.never_sent, Loss.shed))
"""Losses after which the request has certainly not run."""


@final
class NextStep(enum.Enum):
    """The decision after a failed attempt."""

    retry = 'retry'
    fail = 'fail'


@final
@dataclasses.dataclass(frozen=True)
class CallRequest:
    """A parsed request, independent of the protocol of the front end."""

    call: CallId
    service: ServiceId
    method: str
    path: str
    tenant: TenantId
    key: RequestKey
    deadline: Seconds
    """Time on the clock of this process at which the caller gives up."""
    hops: int = 0
    """Times that the call was forwarded so far."""
    retried: bool = False
    """Whether a level nearer to the caller already retried this call."""
    depth: int = 0
    """Number of calls that this call is nested in."""
    home_regions: tuple[RegionId, ...] = ()
    """Regions that may serve and store the call; empty for all."""
    repeatable: bool | None = None
    """Whether the route permits running twice; ``None`` to go by the method."""
    max_attempts: int = MAX_ATTEMPTS
    """Attempts once the call may have run."""

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the request may safely run twice."""
        if self.repeatable is None:
            return self.method in IDEMPOTENT_METHODS
        return self.repeatable

    @property
    def uses_ledger(self) -> bool:
        """Tell whether a ledger record guards against running twice."""
        return bool(self.key) and not self.is_idempotent

    def is_allowed_in(self, region: RegionId) -> bool:
        """Tell whether the request may be served and stored in a region."""
        return not self.home_regions or region in self.home_regions

    def fingerprint(self, body: bytes) -> Fingerprint:
        """Return a digest that is equal for resends of the same request."""
        digest = hashlib.sha256(self.identity())
        digest.update(body)
        return Fingerprint(digest.hexdigest()[:FINGERPRINT_LENGTH])

    def identity(self, *labels: str) -> bytes:
        """Return what identifies the request, but for its body."""
        parts = (self.service, self.method, self.path, self.tenant, self.key)
        return '\0'.join((*parts, *labels)).encode()


@final
class Call:
    """Tracks the attempts of one request and decides about retries."""

    def __init__(self, request: CallRequest) -> None:
        """Start with no attempts made."""
        self.request = request
        self.attempts = 0
        """Attempts started so far."""
        self.losses: list[Loss] = []
        """Failures of the attempts, oldest first."""
        self._has_spent_all = False
        """Whether another instance may have made all attempts."""

    @property
    def ran(self) -> Ran:
        """Return whether the request ran, judged by the failed attempts."""
        is_certain = NOT_RUN_LOSSES.issuperset(self.losses)
        return Ran.no if is_certain else Ran.unknown

    @property
    def has_reached_target(self) -> bool:
        """Tell whether a failed attempt may have reached a target."""
        return any(loss is not Loss.never_sent for loss in self.losses)

    @property
    def attempts_left(self) -> int:
        """Return the targets that may still run the request, at least 1."""
        possibly_run = sum(loss not in NOT_RUN_LOSSES for loss in self.losses)
        return max(self.request.max_attempts - possibly_run, 1)

    def start_attempt(self) -> None:
        """Count an attempt that is about to be made."""
        self.attempts += 1

    def record_failure(
        self, loss: Loss, *, spends_all_attempts: bool = False
    ) -> None:
        """Record how the newest attempt failed.

        With ``spends_all_attempts``, another instance made it, and may have
        made all attempts that were left, unless the request did not run.
        """
        self.losses.append(loss)
        if spends_all_attempts and loss not in NOT_RUN_LOSSES:
            self._has_spent_all = True

    def next_step(self, now: Seconds, *, can_replay: bool) -> NextStep:
        """Decide whether to retry; the caller also checks its retry budget.

        A request that certainly has not run may be sent to another target,
        whatever its method. One that may have run is retried only if it is
        idempotent and no other level has retried it, within its
        ``max_attempts``. ``can_replay`` says whether the request body is
        still available.
        """
        if now >= self.request.deadline:
            return NextStep.fail
        if not can_replay:
            return NextStep.fail
        if self.ran is Ran.no:
            has_more = self.attempts < MAX_NOT_RUN_ATTEMPTS
            return NextStep.retry if has_more else NextStep.fail
        if self._has_spent_all or self.attempts >= self.request.max_attempts:
            return NextStep.fail
        may_run_twice = self.request.is_idempotent and not self.request.retried
        return NextStep.retry if may_run_twice else NextStep.fail

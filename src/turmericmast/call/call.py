"""The call aggregate: one request, its attempts, and what may be said."""

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
MAX_HOPS = 2
"""Entries that one call passes at the most: one extra hop, or a region."""
MAX_ATTEMPTS = 2
"""Attempts of an idempotent call at the level next to the failure."""
MAX_NOT_RUN_ATTEMPTS = 4
"""Targets tried for a call that provably has not run yet."""
FINGERPRINT_LENGTH = 32
MAX_DEPTH = 64
"""Nested calls; more than this is taken for a loop."""


@final
class Ran(enum.Enum):
    """What is known about whether a request ran."""

    no = 'no'
    yes = 'yes'
    unknown = 'unknown'


@final
class Loss(enum.Enum):
    """How an attempt failed."""

    never_sent = 'never_sent'
    shed = 'shed'
    connection_lost = 'connection_lost'
    timed_out = 'timed_out'
    cut_short = 'cut_short'
    failed = 'failed'
    """A whole answer by which the target says that it failed."""


@final
class NextStep(enum.Enum):
    """What to do after a failed attempt."""

    retry = 'retry'
    fail = 'fail'


@final
@dataclasses.dataclass(frozen=True)
class CallRequest:
    """What a front end has understood of a request."""

    call: CallId
    service: ServiceId
    method: str
    path: str
    tenant: TenantId
    key: RequestKey
    deadline: Seconds
    hops: int = 0
    retried: bool = False
    """Whether a level nearer to the caller already retried this call."""
    depth: int = 0
    home_regions: tuple[RegionId, ...] = ()
    repeatable: bool | None = None
    """What the route says about running twice; else the method decides."""
    max_attempts: int = MAX_ATTEMPTS

    @property
    def is_idempotent(self) -> bool:
        """Tell whether running twice does no harm."""
        if self.repeatable is None:
            return self.method in IDEMPOTENT_METHODS
        return self.repeatable

    @property
    def uses_ledger(self) -> bool:
        """Tell whether a ledger record guards this request."""
        return bool(self.key) and not self.is_idempotent

    def is_allowed_in(self, region: RegionId) -> bool:
        """Tell whether the request may be served and kept in a region."""
        return not self.home_regions or region in self.home_regions

    def fingerprint(self, body: bytes) -> Fingerprint:
        """Return a digest by which a resend of the request is known."""
        parts = (self.service, self.method, self.path, self.tenant, self.key)
        digest = hashlib.sha256('\0'.join(parts).encode())
        digest.update(body)
        return Fingerprint(digest.hexdigest()[:FINGERPRINT_LENGTH])


@final
class Call:
    """Follows the attempts of one request and decides after each."""

    def __init__(self, request: CallRequest) -> None:
        """Start before the first attempt."""
        self.request = request
        self.attempts = 0
        self.losses: list[Loss] = []
        self.crashes = 0
        self.has_answered = False
        """Whether a byte of an answer went to the caller."""

    @property
    def ran(self) -> Ran:
        """Return what is known when no answer arrived."""
        unsent = {Loss.never_sent, Loss.shed}
        return Ran.no if set(self.losses) <= unsent else Ran.unknown

    def start_attempt(self) -> None:
        """Count an attempt."""
        self.attempts += 1

    def record_failure(self, loss: Loss) -> None:
        """Note how the attempt ended."""
        self.losses.append(loss)
        if loss in {Loss.connection_lost, Loss.cut_short}:
            self.crashes += 1

    def next_step(self, now: Seconds, *, can_replay: bool) -> NextStep:
        """Decide after a failure; the budget is asked by the caller.

        What was provably not run may go elsewhere whatever its method. What
        may have run is tried again only when idempotent, once, and never
        when another level already did.
        """
        if now >= self.request.deadline or self.has_answered:
            return NextStep.fail
        if not can_replay:
            return NextStep.fail
        if self.ran is Ran.no:
            has_more = self.attempts < MAX_NOT_RUN_ATTEMPTS
            return NextStep.retry if has_more else NextStep.fail
        if self.attempts >= self.request.max_attempts:
            return NextStep.fail
        repeatable = self.request.is_idempotent and not self.request.retried
        return NextStep.retry if repeatable else NextStep.fail

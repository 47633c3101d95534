"""Losses of targets that may be crashes, or lost links, until a restart."""

import collections
import dataclasses
from collections.abc import Callable, Iterable
from typing import final

from turmericmast.cluster.records import TargetRecord
from turmericmast.ids import Fingerprint, Millis, Seconds

DOUBT_LIFETIME = 15.0
"""Seconds within which a target that crashed starts again."""
COMMON_LOSS_TIME = 0.5
"""Seconds between losses that may have one cause."""
MAX_DOUBTS = 256
"""Doubts that are kept; beyond, the oldest one is dropped."""
MAX_LOSSES = 1024
"""Losses that are kept; beyond, the oldest one is dropped."""


@final
@dataclasses.dataclass(frozen=True)
class LostRequest:
    """A request whose target was lost while it ran it."""

    record: TargetRecord
    """That of the target when it was lost."""
    fingerprints: tuple[Fingerprint, ...]
    at: Seconds
    at_ms: Millis
    """The same by the wall clock."""


@final
class CrashDoubts:
    """Decides by the restart of a target that a request has crashed it.

    Where most targets are silent, an instance cannot tell a crash from the loss
    of its links. A target that then starts again has crashed: the loss of a
    link leaves it as it was. If other targets that did not run the request were
    lost at the same time, the request is not the cause.
    """

    def __init__(self) -> None:
        """Begin without doubts."""
        self.on_crash: Callable[[LostRequest], None] = _ignore
        """Called with a request that has crashed its target."""
        self._losses: collections.deque[LostRequest] = collections.deque(
            maxlen=MAX_LOSSES
        )
        self._doubts: collections.deque[LostRequest] = collections.deque(
            maxlen=MAX_DOUBTS
        )
        self._counted_at: dict[Fingerprint, Seconds] = {}

    def note_loss(self, lost: LostRequest) -> None:
        """Note each request that is lost, whether it is in doubt or not."""
        self._losses.append(lost)

    def add(self, lost: LostRequest) -> None:
        """Keep a request in doubt.

        To be called ``COMMON_LOSS_TIME`` after its loss, when all losses of
        that time are known.
        """
        if not self._has_common_cause(lost):
            self._doubts.append(lost)

    def settle(self, records: Iterable[TargetRecord], now: Seconds) -> None:
        """Compare the doubts with new or changed records of targets."""
        while self._doubts and now - self._doubts[0].at > DOUBT_LIFETIME:
            self._doubts.popleft()
        if not self._doubts:
            return
        records = tuple(records)
        for lost in tuple(self._doubts):
            if any(_is_restart(lost.record, record) for record in records):
                self._doubts.remove(lost)
                self._count(lost)

    def _count(self, lost: LostRequest) -> None:
        """Report a crash, unless one of the same time has been."""
        self._counted_at = {
            fingerprint: at
            for fingerprint, at in self._counted_at.items()
            if lost.at - at <= COMMON_LOSS_TIME
        }
        fingerprints = tuple(
            fingerprint
            for fingerprint in lost.fingerprints
            if fingerprint not in self._counted_at
        )
        self._counted_at |= dict.fromkeys(fingerprints, lost.at)
        if fingerprints:
            self.on_crash(dataclasses.replace(lost, fingerprints=fingerprints))

    def _has_common_cause(self, lost: LostRequest) -> bool:
        """Tell whether targets that did not run the request were lost, too."""
        lost_at_that_time = [
            other
            for other in self._losses
            if abs(other.at - lost.at) <= COMMON_LOSS_TIME
        ]
        lost_with_it = {
            other.record.target
            for other in lost_at_that_time
            if not set(lost.fingerprints).isdisjoint(other.fingerprints)
        }
        return any(
            other.record.target not in lost_with_it
            for other in lost_at_that_time
        )


def _is_restart(before: TargetRecord, record: TargetRecord) -> bool:
    """Tell whether a target has started again, also under another id."""
    is_same_place = (before.address, before.service) == (
        record.address,
        record.service,
    )
    is_same = before.target == record.target or is_same_place
    return is_same and record.born > before.born


def _ignore(lost: LostRequest) -> None:
    """Do nothing; the default until a callback is set."""

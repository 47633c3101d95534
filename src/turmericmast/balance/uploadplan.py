"""Uploads that share the link of an instance, and whether one more fits."""

import dataclasses
import math
from typing import final

from turmericmast.balance.admission import GOLDEN_RATIO, OPENING_SPREAD
from turmericmast.balance.linkpace import LinkPace
from turmericmast.ids import CallId, Seconds


@final
@dataclasses.dataclass(slots=True)
class PlannedUpload:
    """What is left of an upload, and until when it must have passed."""

    octets: int
    deadline: Seconds


@final
class UploadPlan:
    """The uploads that were admitted to the link and have not ended.

    Uploads of an unknown length count as empty.
    """

    def __init__(self, pace: LinkPace) -> None:
        """Plan by the rate of ``pace``; without one, every upload fits."""
        self._pace = pace
        self._upload_by_call: dict[CallId, PlannedUpload] = {}
        self._refused = 0

    def fits(self, octets: int, deadline: Seconds, now: Seconds) -> bool:
        """Tell whether one more upload passes in time, and all others still do.

        The link is shared evenly: until an upload has passed, each other one
        has sent as much, or all that it has.
        """
        if not self._pace.is_limited:
            return True
        self._drop_expired(now)
        added = PlannedUpload(octets, deadline)
        uploads = [*self._upload_by_call.values(), added]
        return all(
            now + self._time_to_pass(upload, uploads) <= upload.deadline
            for upload in uploads
        )

    def time_until_room(self, now: Seconds) -> float:
        """Return the seconds until all planned uploads have passed."""
        self._drop_expired(now)
        pending = sum(upload.octets for upload in self._upload_by_call.values())
        return pending / self._pace.rate if self._pace.is_limited else 0

    def retry_delay(self, now: Seconds) -> float:
        """Return the seconds after which a refused caller should retry.

        It is not before there is room; the callers of a burst are spread.
        """
        self._refused += 1
        spread, _ = math.modf(self._refused * GOLDEN_RATIO)
        return self.time_until_room(now) + OPENING_SPREAD * spread

    def begin(self, call: CallId, octets: int, deadline: Seconds) -> None:
        """Plan an upload that was admitted."""
        if self._pace.is_limited:
            self._upload_by_call[call] = PlannedUpload(octets, deadline)

    def pass_on(self, call: CallId, octets: int) -> None:
        """Count octets of a body that were received."""
        upload = self._upload_by_call.get(call)
        if upload:
            upload.octets = max(upload.octets - octets, 0)

    def end(self, call: CallId) -> None:
        """Forget an upload that is complete or was given up."""
        self._upload_by_call.pop(call, None)

    def _drop_expired(self, now: Seconds) -> None:
        """Forget uploads whose time is over, also if no end was noted."""
        expired = [
            call
            for call, upload in self._upload_by_call.items()
            if upload.deadline <= now
        ]
        for call in expired:
            self.end(call)

    def _time_to_pass(
        self, upload: PlannedUpload, uploads: list[PlannedUpload]
    ) -> float:
        octets = sum(min(other.octets, upload.octets) for other in uploads)
        return octets / self._pace.rate

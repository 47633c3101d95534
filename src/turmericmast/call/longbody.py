"""Identity of a request whose body is too long to be buffered."""

import hashlib
from typing import final

from turmericmast.call.call import FINGERPRINT_LENGTH, CallRequest
from turmericmast.ids import Fingerprint

OPENING_BYTES = 65_536
"""Bytes at the start of a body that its opening covers."""
OPENING_LABEL = 'opening'
"""Tells the fingerprint of an opening from that of a whole request."""


@final
class LongBodyFingerprint:
    """Fingerprints of a request, computed while its body arrives.

    The whole body alone identifies the request. Its opening is known before
    anything is sent to a target; other requests may begin alike.
    """

    def __init__(self, request: CallRequest) -> None:
        """Begin before the first byte of the body."""
        self._whole = hashlib.sha256(request.identity())
        self._opening = hashlib.sha256(request.identity(OPENING_LABEL))
        self._opening_left = OPENING_BYTES

    def update(self, chunk: bytes) -> None:
        """Add bytes of the body."""
        self._whole.update(chunk)
        if self._opening_left:
            part = chunk[: self._opening_left]
            self._opening.update(part)
            self._opening_left -= len(part)

    def opening(self) -> Fingerprint:
        """Return that of the first ``OPENING_BYTES`` of the body."""
        return Fingerprint(self._opening.hexdigest()[:FINGERPRINT_LENGTH])

    def whole(self) -> Fingerprint:
        """Return that of the request, as ``CallRequest.fingerprint`` does.

        The whole body must have been added.
        """
        return Fingerprint(self._whole.hexdigest()[:FINGERPRINT_LENGTH])

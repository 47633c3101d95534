"""Whether one request on the key of a client account may be passed on."""

import enum
from typing import final

from turmericmast.account.account import Account
from turmericmast.account.table import AccountTable
from turmericmast.edge.keyfence import KeyFence
from turmericmast.ids import ApiKey, Seconds


@final
class KeyObstacle(enum.Enum):
    """What keeps a request on a key from being passed on."""

    stale = 'stale'
    """The instance may lack a version that revokes the key."""
    revoked = 'revoked'
    """The key was revoked while the request waited."""


@final
class KeyAdmission:
    """Checks one request again whenever it is about to be passed on.

    Until something was passed on, the time of the check counts: the request
    may have waited for its body, for a probe, or in a frozen process. Later
    attempts go on if the request had been received in time.
    """

    def __init__(
        self,
        fence: KeyFence,
        account: Account,
        key: ApiKey,
        received_at: Seconds,
    ) -> None:
        """Check a request on ``key``, the one of ``account``."""
        self._fence = fence
        self._account = account.account
        self._key = key
        self._received_at = received_at
        self._was_passed_on = False

    def find_obstacle(
        self, now: Seconds, accounts: AccountTable | None
    ) -> KeyObstacle | None:
        """Return why the request must not be passed on, if it must not.

        ``accounts`` are those of the newest configuration.
        """
        if self._was_passed_on:
            is_fresh = self._fence.admits(self._received_at)
            return None if is_fresh else KeyObstacle.stale
        if not self._fence.admits(now):
            return KeyObstacle.stale
        return None if self._is_known(accounts) else KeyObstacle.revoked

    def pass_on(self) -> None:
        """Note that the request is passed on now."""
        self._was_passed_on = True

    def _is_known(self, accounts: AccountTable | None) -> bool:
        if accounts is None:
            return True
        found = accounts.find((self._key,))
        return found is not None and found.account == self._account

"""Announce a target to its owner, as docs/targets.md describes."""

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Sequence
from typing import final

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

TIMEOUT = 3.0
"""Seconds that an entry has to answer an announcement."""
RETRY_PAUSE = 0.2
"""Seconds before the next attempt when no owner acknowledged."""
OWNER_STATUSES = frozenset((200, 429))
"""Statuses whose answer has the owner and the time to the next attempt."""


@final
class Announcer:
    """Find the owner of a target and announce to it periodically."""

    def __init__(
        self,
        entries: Sequence[str],
        document: Callable[[], dict[str, object]],
    ) -> None:
        """Try ``entries`` until an answer names the owner.

        ``document`` returns the announcement to send.
        """
        self._entries = list(entries)
        random.Random().shuffle(self._entries)
        self._document = document
        self._announce_to: list[str] = []
        self._interval = float(1)

    async def run(self) -> None:
        """Announce at the interval that the owner asks for, until cancelled."""
        while True:
            is_acknowledged = await self.announce_to_owner()
            await asyncio.sleep(
                self._interval if is_acknowledged else RETRY_PAUSE
            )

    async def announce_to_owner(self) -> bool:
        """Announce up to three times; tell whether the owner acknowledged."""
        for _ in range(3):
            if await self._announce():
                return True
        return False

    async def _announce(self) -> bool:
        client = AsyncHTTPClient()
        addresses = itertools.chain(self._announce_to, self._entries)
        for entry in dict.fromkeys(addresses):
            try:
                answer = await client.fetch(
                    f'http://{entry}/-/announce',
                    method='POST',
                    body=json.dumps(self._document()),
                    request_timeout=TIMEOUT,
                    raise_error=False,
                )
            except (HTTPClientError, OSError):
                continue
            if answer.code not in OWNER_STATUSES:
                continue
            owner_answer = json.loads(answer.body)
            self._announce_to = owner_answer['announce_to']
            self._interval = owner_answer['again_ms'] / 1000
            return bool(owner_answer['owned'])
        return False

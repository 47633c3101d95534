"""Announces a target, as docs/targets.md says."""

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Sequence
from typing import final

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

TIMEOUT = 3.0
RETRY_PAUSE = 0.2
OWNER_STATUSES = frozenset((200, 429))
"""Statuses that say who owns the target, and when to announce again."""


@final
class Announcer:
    """Finds the owner of a target and keeps announcing to it."""

    def __init__(
        self,
        entries: Sequence[str],
        document: Callable[[], dict[str, object]],
    ) -> None:
        """Know some entries to begin with."""
        self._entries = list(entries)
        random.Random().shuffle(self._entries)
        self._document = document
        self._announce_to: list[str] = []
        self._interval = float(1)

    async def run(self) -> None:
        """Announce for ever, as often as the owner asks."""
        while True:
            is_acknowledged = await self.announce_to_owner()
            await asyncio.sleep(
                self._interval if is_acknowledged else RETRY_PAUSE
            )

    async def announce_to_owner(self) -> bool:
        """Announce until the owner has heard, a few times at the most."""
        for _ in range(3):
            if await self._announce():
                return True
        return False

    async def _announce(self) -> bool:
        client = AsyncHTTPClient()
        known = itertools.chain(self._announce_to, self._entries)
        for entry in dict.fromkeys(known):
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

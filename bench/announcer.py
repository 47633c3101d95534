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
HEARD = frozenset((200, 429))
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
        self._again = float(1)

    async def run(self) -> None:
        """Announce for ever, as often as the owner asks."""
        while True:
            heard = await self.tell_owner()
            await asyncio.sleep(self._again if heard else RETRY_PAUSE)

    async def tell_owner(self) -> bool:
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
            if answer.code not in HEARD:
                continue
            told = json.loads(answer.body)
            self._announce_to = told['announce_to']
            self._again = told['again_ms'] / 1000
            return bool(told['owned'])
        return False

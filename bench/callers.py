"""Callers: they ask for addresses, keep them for a while, and call."""

import asyncio
import dataclasses
import itertools
import json
import math
import random
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, final

from bench.httpclient import REFUSED_RESPONSE, HttpClient, HttpResponse

RESOLVE_TIMEOUT = 1.0
RESOLVE_PAUSE = 0.1
MAX_RESOLVE_ATTEMPTS = 60
AVOID_TIME = 10.0
"""How long an address that gave no answer is left out."""
GRACE_TIME = 2.0
"""Seconds past the deadline after which a caller gives up by itself."""


@final
@dataclasses.dataclass(frozen=True)
class CallResult:
    """One call and its answer."""

    sent_at: float
    """Seconds by the monotonic clock at which it should have been sent."""
    latency: float
    """Seconds from then until its answer."""
    status: int
    """Status, 0 when no whole answer came."""
    ran: str
    target: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    address: str = ''


@final
class Caller:
    """Calls one service through the addresses that the system gives."""

    def __init__(
        self,
        entries: Sequence[str],
        service: str,
        domain: str = '',
        seed: int = 1,
    ) -> None:
        """Know a few entries to ask for addresses."""
        self.service = service
        self.refused_connections = 0
        """Connections that an address within its time refused."""
        self._entries = list(entries)
        self._domain = domain
        self._random = random.Random(seed)
        self._addresses: list[str] = []
        self._weights: list[int] = []
        self._expires_at = float(0)
        self._resolve_lock = asyncio.Lock()
        self._client = HttpClient()
        self._avoid_until_by_address: dict[str, float] = {}

    async def choose_address(self) -> str:
        """Return an address, asking anew when the answer has run out."""
        if time.monotonic() >= self._expires_at:
            async with self._resolve_lock:
                if time.monotonic() >= self._expires_at:
                    await self._resolve()
        chosen = self._random.choices(self._addresses, self._weights)
        return chosen[0]

    async def call(
        self,
        path: str,
        *,
        method: str = 'GET',
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        timeout: float = 10,
        due: float | None = None,
    ) -> CallResult:
        """Make a call; its time counts from ``due``."""
        started = time.monotonic() if due is None else due
        given = {
            'Turmericmast-Timeout-Ms': str(int(timeout * 1000)),
            **(headers or {}),
        }
        answer = REFUSED_RESPONSE
        address = ''
        while answer.is_refused and time.monotonic() < started + timeout:
            address = await self.choose_address()
            answer = await self._client.fetch(
                address,
                f'/{self.service}{path}',
                method=method,
                headers=given,
                body=body,
                timeout=timeout + GRACE_TIME,
            )
            self._update_addresses(address, answer)
        return _to_result(answer, started, address)

    def pin(self, address: str) -> None:
        """Use one address for good."""
        self._addresses = [address]
        self._weights = [1]
        self._expires_at = math.inf

    def reset(self) -> None:
        """Ask again, and connect again, at the next call."""
        self._expires_at = float(0)
        self._client.close_idle()

    def _update_addresses(self, address: str, answer: HttpResponse) -> None:
        self.refused_connections += answer.is_refused
        is_pinned = self._expires_at == math.inf
        if answer.status == 0 and not is_pinned:
            self._avoid_until_by_address[address] = (
                time.monotonic() + AVOID_TIME
            )
            self._expires_at = float(0)

    async def _resolve(self) -> None:
        now = time.monotonic()
        avoid = [
            one
            for one, until in self._avoid_until_by_address.items()
            if until > now
        ]
        self._random.shuffle(self._entries)
        known = itertools.cycle(self._entries)
        for entry in itertools.islice(known, MAX_RESOLVE_ATTEMPTS):
            page = (
                f'/-/addresses?service={self.service}&domain={self._domain}'
                f'&avoid={",".join(avoid)}'
            )
            answer = await self._client.fetch(
                entry, page, timeout=RESOLVE_TIMEOUT
            )
            told = json.loads(answer.body) if answer.status == 200 else {}
            if told.get('addresses'):
                self._addresses = told['addresses']
                self._weights = told['weights']
                self._expires_at = time.monotonic() + told['ttl_ms'] / 1000
                return
            await asyncio.sleep(RESOLVE_PAUSE)
        if not self._addresses:
            raise TimeoutError(f'no addresses of {self.service}')


def _to_result(
    answer: HttpResponse, started: float, address: str
) -> CallResult:
    return CallResult(
        sent_at=started,
        latency=time.monotonic() - started,
        status=answer.status,
        ran=answer.headers.get('Turmericmast-Ran', ''),
        target=answer.headers.get('X-Target', ''),
        body=answer.body,
        headers=tuple(answer.headers.items()),
        address=address,
    )


async def run_open_loop(
    callers: Sequence[Caller],
    rate: float,
    seconds: float,
    call: Callable[[Caller, float], Coroutine[Any, Any, CallResult]],
    seed: int = 1,
) -> list[CallResult]:
    """Call at random times at a given rate, whatever the answers do.

    ``call`` gets a caller and the time at which the call is due.
    """
    source = random.Random(seed)
    due = time.monotonic()
    until = due + seconds
    tasks: list[asyncio.Task[CallResult]] = []
    for caller in itertools.cycle(callers):
        due += source.expovariate(rate)
        if due >= until:
            break
        pause = due - time.monotonic()
        if pause > 0:
            await asyncio.sleep(pause)
        tasks.append(asyncio.ensure_future(call(caller, due)))
    return list(await asyncio.gather(*tasks))


def call_to(path: str, timeout: float = 10) -> Any:
    """Return a call of a path, for ``open_loop``."""

    def call(caller: Caller, due: float) -> Coroutine[Any, Any, CallResult]:
        return caller.call(path, due=due, timeout=timeout)

    return call

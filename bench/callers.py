"""Callers of a service, and open-loop load.

A caller asks an entry for addresses of a service, keeps them for their
lifetime, and sends its calls to them.
"""

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
"""Seconds that an entry has to answer with addresses."""
RESOLVE_PAUSE = 0.1
"""Seconds before the next entry is asked."""
MAX_RESOLVE_ATTEMPTS = 60
"""Requests for addresses before giving up and keeping the expired ones."""
AVOID_TIME = 10.0
"""Seconds for which an address that gave no answer is not used."""
GRACE_TIME = 2.0
"""Seconds past its timeout after which a caller stops waiting."""


@final
@dataclasses.dataclass(frozen=True)
class CallResult:
    """Outcome of one call."""

    sent_at: float
    """Monotonic time in seconds at which the call was due."""
    latency: float
    """Seconds from ``sent_at`` until the answer."""
    status: int
    """HTTP status, 0 when no complete answer came."""
    ran: str
    """Header that says whether the call ran: yes, no or unknown."""
    target: str
    """Id of the target that answered, empty when none did."""
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    address: str = ''


@final
class Caller:
    """Call one service at the addresses that entries return for it."""

    def __init__(
        self,
        entries: Sequence[str],
        service: str,
        domain: str = '',
        seed: int = 1,
    ) -> None:
        """Ask ``entries`` for addresses, as a caller in ``domain``."""
        self.service = service
        self.refused_connections = 0
        """Connections refused by an address within its lifetime."""
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
        """Choose an address by weight; ask an entry when they have expired."""
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
        """Make a call, and try other addresses when a connection is refused.

        ``timeout`` is in seconds and is sent along; without an answer, the
        caller waits ``GRACE_TIME`` longer. The latency counts from ``due``
        (monotonic time), or from now.
        """
        started = time.monotonic() if due is None else due
        sent_headers = {
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
                headers=sent_headers,
                body=body,
                timeout=timeout + GRACE_TIME,
            )
            self._update_addresses(address, answer)
        return _to_result(answer, started, address)

    def pin(self, address: str) -> None:
        """Use only this address, without asking for others."""
        self._addresses = [address]
        self._weights = [1]
        self._expires_at = math.inf

    def reset(self) -> None:
        """Drop the addresses and idle connections.

        The next call asks for addresses and connects again.
        """
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
            address
            for address, until in self._avoid_until_by_address.items()
            if until > now
        ]
        self._random.shuffle(self._entries)
        entries = itertools.cycle(self._entries)
        for entry in itertools.islice(entries, MAX_RESOLVE_ATTEMPTS):
            path = (
                f'/-/addresses?service={self.service}&domain={self._domain}'
                f'&avoid={",".join(avoid)}'
            )
            answer = await self._client.fetch(
                entry, path, timeout=RESOLVE_TIMEOUT
            )
            document = json.loads(answer.body) if answer.status == 200 else {}
            if document.get('addresses'):
                self._addresses = document['addresses']
                self._weights = document['weights']
                self._expires_at = time.monotonic() + document['ttl_ms'] / 1000
                return
            await asyncio.sleep(RESOLVE_PAUSE)
        if not self._addresses:
            raise TimeoutError(f'no entry returned addresses of {self.service}')


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
    """Start calls at random times, without waiting for earlier answers.

    Arrivals are a Poisson process of ``rate`` calls a second. ``call`` gets a
    caller and the monotonic time at which the call is due.
    """
    generator = random.Random(seed)
    due = time.monotonic()
    until = due + seconds
    tasks: list[asyncio.Task[CallResult]] = []
    for caller in itertools.cycle(callers):
        due += generator.expovariate(rate)
        if due >= until:
            break
        pause = due - time.monotonic()
        if pause > 0:
            await asyncio.sleep(pause)
        tasks.append(asyncio.ensure_future(call(caller, due)))
    return list(await asyncio.gather(*tasks))


def call_to(path: str, timeout: float = 10) -> Any:
    """Return a function that calls a path, for ``run_open_loop``."""

    def call(caller: Caller, due: float) -> Coroutine[Any, Any, CallResult]:
        return caller.call(path, due=due, timeout=timeout)

    return call

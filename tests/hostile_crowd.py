"""Clients that send more than a process should hold, all at once."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from typing import final

from tests.limited_machine import ADDRESS

CONNECT_SECONDS = 5.0
"""Seconds in which a client tries to connect."""
SEND_SECONDS = 4.0
"""Seconds for which a client sends, at most."""
HOLD_SECONDS = 1.0
"""Seconds for which it stays when it has nothing more to send."""


@final
@dataclasses.dataclass(frozen=True)
class Hostility:
    """What each client of a crowd sends to one port."""

    name: str
    role: str
    """Program that must stand it, ``edge`` or ``core``."""
    port: int
    """Position of the port at the machine."""
    first: bytes
    """What is sent once."""
    again: bytes = b''
    """What is sent again and again."""
    octets: int = 0
    """Bytes up to which ``again`` is sent."""
    clients: int = 40
    is_datagram: bool = False


async def send_all(kind: Hostility, port: int) -> contextlib.ExitStack:
    """Let all clients send; return their connections, which are still open."""
    stack = contextlib.ExitStack()
    if kind.is_datagram:
        _send_datagrams(kind, port)
    else:
        await asyncio.gather(
            *(_send(kind, port, stack) for _ in range(kind.clients))
        )
        await asyncio.sleep(HOLD_SECONDS)
    return stack


async def _send(
    kind: Hostility, port: int, stack: contextlib.ExitStack
) -> None:
    loop = asyncio.get_running_loop()
    client = stack.enter_context(socket.socket())
    client.setblocking(False)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CONNECT_SECONDS):
            await loop.sock_connect(client, (ADDRESS, port))
        async with asyncio.timeout(SEND_SECONDS):
            await loop.sock_sendall(client, kind.first)
            for _ in range(kind.octets // max(len(kind.again), 1)):
                await loop.sock_sendall(client, kind.again)
                # Others get a turn, though the socket takes everything.
                await asyncio.sleep(0)


def _send_datagrams(kind: Hostility, port: int) -> None:
    with socket.socket(type=socket.SOCK_DGRAM) as client:
        for number in range(kind.clients):
            client.sendto(
                struct.pack('>I', number) + kind.first, (ADDRESS, port)
            )

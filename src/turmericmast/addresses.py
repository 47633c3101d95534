"""Addresses of processes: an IP address and a port."""

import ipaddress
from typing import Final

from turmericmast.numerals import is_whole_within

MAX_PORT: Final = 65_535
"""Largest port number of TCP and UDP."""
_BROADCAST = ipaddress.ip_address('255.255.255.255')


def is_address(address: object) -> bool:
    """Tell whether ``address`` is ``IP-ADDRESS:PORT``, for IPv6 in brackets.

    Host names are refused: resolving them would need a thread.
    """
    return _parse(address) is not None


def is_unicast_address(address: object) -> bool:
    """Tell whether ``address`` is ``IP-ADDRESS:PORT`` of one certain host."""
    host = _parse(address)
    return host is not None and not (
        host.is_unspecified or host.is_multicast or host == _BROADCAST
    )


def _parse(
    address: object,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    if not isinstance(address, str):
        return None
    host, _, port = address.rpartition(':')
    if not is_whole_within(port, 1, MAX_PORT):
        return None
    is_bracketed = host.startswith('[') and host.endswith(']')
    # A zone index, after a percent sign, only holds on one host.
    if is_bracketed and '%' in host:
        return None
    kind = ipaddress.IPv6Address if is_bracketed else ipaddress.IPv4Address
    try:
        return kind(host[1:-1] if is_bracketed else host)
    except ValueError:
        return None

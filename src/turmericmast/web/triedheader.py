"""The header by which instances tell each other which targets were tried."""

import urllib.parse
from collections.abc import Iterable, Sequence

from tornado.httputil import HTTPHeaders

from turmericmast.ids import TargetId
from turmericmast.names import is_name

TRIED_HEADER = 'Turmericmast-Tried'
"""Targets that may have got a forwarded request, separated by commas.

It is optional on requests and on refusals. An older instance ignores it."""
MAX_TRIED = 32
"""Targets that are named; the oldest ones are left out."""
MAX_TRIED_OCTETS = 8192
"""Length of the header, beyond which it counts as malformed."""


def tried_headers(targets: Sequence[TargetId]) -> tuple[tuple[str, str], ...]:
    """Return the header with the newest of some targets, none without any."""
    names: list[str] = []
    octets = 0
    for target in reversed(targets[-MAX_TRIED:]):
        name = urllib.parse.quote(target, safe='')
        octets += len(name) + 1
        if octets > MAX_TRIED_OCTETS:
            break
        names.append(name)
    text = ','.join(reversed(names))
    return ((TRIED_HEADER, text),) if text else ()


def read_tried(headers: HTTPHeaders) -> tuple[TargetId, ...]:
    """Return the targets that a header names.

    None are known if it is absent or malformed.
    """
    text = headers.get(TRIED_HEADER, '')
    if not text or len(text) > MAX_TRIED_OCTETS:
        return ()
    names = tuple(map(urllib.parse.unquote, text.split(',')))
    is_valid = len(names) <= MAX_TRIED and _are_names(names)
    return tuple(map(TargetId, names)) if is_valid else ()


def _are_names(texts: Iterable[str]) -> bool:
    return all(map(is_name, texts))

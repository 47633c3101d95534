"""The header by which instances tell each other which targets were tried."""

import urllib.parse
from collections.abc import Iterable, Sequence

from tornado.httputil import HTTPHeaders

from turmericmast.ids import CallId, TargetId
from turmericmast.names import is_name

TRIED_HEADER = 'Turmericmast-Tried'
"""Id of a forwarded request, and the targets that may have got it, by commas.

A caller cannot know the id, so it cannot name targets through an older
instance, which passes the header on. It is optional on requests and on
refusals. An older instance ignores it."""
MAX_TRIED = 32
"""Targets that are named; the oldest ones are left out."""
MAX_TRIED_OCTETS = 8192
"""Length of the header, beyond which it counts as malformed."""


def tried_headers(
    call: CallId, targets: Sequence[TargetId]
) -> tuple[tuple[str, str], ...]:
    """Return the header with the newest of some targets, none without any."""
    names: list[str] = []
    octets = 0
    for target in reversed(targets[-MAX_TRIED:]):
        name = urllib.parse.quote(target, safe='')
        octets += len(name) + 1
        if octets > MAX_TRIED_OCTETS:
            break
        names.append(name)
    text = ','.join((call, *reversed(names)))
    return ((TRIED_HEADER, text),) if names else ()


def read_tried(headers: HTTPHeaders, call: CallId) -> tuple[TargetId, ...]:
    """Return the targets that a header names for the request ``call``.

    None are known if it is absent, malformed or names another request.
    """
    named_call, _, text = headers.get(TRIED_HEADER, '').partition(',')
    is_other = not call or named_call != call
    if is_other or not text or len(text) > MAX_TRIED_OCTETS:
        return ()
    names = tuple(map(urllib.parse.unquote, text.split(',')))
    is_valid = len(names) <= MAX_TRIED and _are_names(names)
    return tuple(map(TargetId, names)) if is_valid else ()


def _are_names(texts: Iterable[str]) -> bool:
    return all(map(is_name, texts))

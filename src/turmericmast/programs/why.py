"""``turmericmast-why``: the story of one request over all processes."""

import pathlib
import sys
from collections.abc import Iterator, Sequence

from absl import app

from turmericmast.programs.timeline import Event, read_events, render_text
from turmericmast.units import MILLIS_PER_SECOND

WINDOW_MS = 3000
"""Milliseconds before a request's first line whose beliefs are shown."""
BELIEFS = frozenset(
    (
        'target_trust',
        'core_contact',
        'routes',
        'routes_bad',
        'leaving',
        'started',
        'lines_left_out',
    ),
)
"""Events by which a process tells what it believes or has lost."""
ARGUMENTS_NEEDED = 3


def story(events: Sequence[Event], request: str) -> list[Event]:
    """Return the lines of a request, with what its processes believed.

    Beliefs are those of the same processes, shortly before and meanwhile,
    about the targets that the request's lines name.
    """
    own = [event for event in events if event.get('request') == request]
    if not own:
        return []
    processes = {event['process'] for event in own}
    known = _beliefs(events, own)
    return [
        event
        for event in events
        if event.get('request') == request
        or (event['process'] in processes and event in known)
    ]


def _beliefs(events: Sequence[Event], own: Sequence[Event]) -> list[Event]:
    """Return what was believed of a request's targets, around its time."""
    targets = {*_targets(own), ''}
    earliest = _time(own[0]) - WINDOW_MS
    return [
        event
        for event in events
        if event['event'] in BELIEFS
        and earliest <= _time(event) <= _time(own[-1])
        and event.get('target', '') in targets
    ]


def _time(event: Event) -> int:
    """Return milliseconds since the epoch."""
    return int(event['clock'][0])


def span(events: Sequence[Event]) -> str:
    """Return which time the lines cover, in milliseconds since the epoch."""
    if not events:
        return 'the files hold no events'
    first = _time(events[0])
    last = _time(events[-1])
    seconds = (last - first) / MILLIS_PER_SECOND
    return f'the files cover {first} to {last} ({seconds:g} s)'


def _targets(own: Sequence[Event]) -> Iterator[str]:
    for event in own:
        yield event.get('target') or ''
        yield from event.get('tried', '').split(',')


def _main(arguments: Sequence[str]) -> int:
    if len(arguments) < ARGUMENTS_NEEDED:
        sys.stderr.write('usage: turmericmast-why REQUEST-ID FILE…\n')
        return 2
    _, request, *names = arguments
    events, skipped = read_events(map(pathlib.Path, names))
    found = story(events, request)
    sys.stdout.write(render_text(found))
    if skipped:
        sys.stderr.write(f'{skipped} lines that are no events were skipped\n')
    if not found:
        sys.stderr.write(f'request {request} is not known; {span(events)}\n')
    return 0 if found else 1


def main() -> None:
    """Run the program."""
    app.run(_main)

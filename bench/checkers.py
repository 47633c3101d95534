"""Invariants of the system, checked over the recorded history of a run.

A history is a list of events, which are dictionaries with ``event`` (its
kind) and ``at`` (wall clock, in seconds). Targets write ``start``, ``end``,
``cancelled``, ``shed`` and ``leaving``; callers write ``answer`` with
``sent_at``, ``call``, ``key``, ``status`` and ``ran``; the operator writes
``taken_out`` and ``returned``. Checkers are pure functions that return the
violations found, as text. Their names are printed as the names of the checks.
"""

import collections
import itertools
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, TypeAlias

Event: TypeAlias = Mapping[str, Any]
History: TypeAlias = Sequence[Event]

PROPAGATION_LIMIT = 5.0
"""Seconds until a change by an operator or a target must hold everywhere.

It bounds the time until a domain that is taken out or a target that leaves
gets no more work, and until an accepted fleet document is in force.
"""
RESPONSE_SLACK = 0.5
"""Seconds allowed past the timeout of a caller, for the way back."""


def at_most_once(history: History) -> list[str]:
    """Check that no idempotency key is run twice."""
    runs = collections.Counter(
        event['key'] for event in _select(history, 'start') if event['key']
    )
    return [
        f'{key} ran {times} times' for key, times in runs.items() if times > 1
    ]


def not_run_is_true(history: History) -> list[str]:
    """Check that calls answered as not run never run, not even later."""
    started = {event['call'] for event in _select(history, 'start')}
    return [
        f'{answer["call"]} was answered as not run, but ran'
        for answer in _select(history, 'answer')
        if answer['ran'] == 'no' and answer['call'] in started
    ]


def same_answer(history: History) -> list[str]:
    """Check that all successful answers to one key have the same body."""
    bodies_by_key = collections.defaultdict(set)
    for answer in _select(history, 'answer'):
        if answer['key'] and answer['status'] == 200:
            bodies_by_key[answer['key']].add(answer['body'])
    return [
        f'{key} got {len(bodies)} different answers'
        for key, bodies in bodies_by_key.items()
        if len(bodies) > 1
    ]


def whole_answers(history: History) -> list[str]:
    """Check that no answer is cut short, altered or that of another call."""
    return [
        f'{answer["call"]}: {violation}'
        for answer in _select(history, 'answer')
        if answer['status'] == 200
        for violation in _answer_violations(answer)
    ]


def in_time(history: History) -> list[str]:
    """Check that calls are answered within the timeout of their caller.

    A suspended entry cannot answer: calls to it that got no answer at all are
    left out, and the time of others counts from when it was resumed.
    """
    return [
        f'{answer["call"]} took {answer["at"] - answer["sent_at"]:.2f} s '
        f'of {answer["timeout"]} s: {answer["status"]} from '
        f'{answer["address"]}'
        for answer in _select(history, 'answer')
        if answer['at'] - _able_since(history, answer)
        > answer['timeout'] + RESPONSE_SLACK
        if not (answer['status'] == 0 and _was_suspended(history, answer))
    ]


def silent_domain(history: History) -> list[str]:
    """Check that a domain gets no work ``PROPAGATION_LIMIT`` after take-out."""
    returned = [event['at'] for event in _select(history, 'returned')]
    return [
        f'{start["target"]} started a call {start["at"] - takeout["at"]:.2f} s '
        f'after {takeout["domain"]} was taken out'
        for takeout in _select(history, 'taken_out')
        for start in _select(history, 'start')
        if start['domain'] == takeout['domain']
        and takeout['at'] + PROPAGATION_LIMIT < start['at']
        and start['at']
        < min((at for at in returned if at > takeout['at']), default=math.inf)
    ]


def silent_target(history: History) -> list[str]:
    """Check that a target gets no work ``PROPAGATION_LIMIT`` after leaving."""
    return [
        f'{start["target"]} started a call too long after it left'
        for leaving in _select(history, 'leaving')
        for start in _select(history, 'start')
        if start['incarnation'] == leaving['incarnation']
        and start['at'] > leaving['at'] + PROPAGATION_LIMIT
    ]


def cold_limits(history: History) -> list[str]:
    """Check that no target runs more requests than its present limit.

    The limit of a cold target is lower.
    """
    return [
        f'{start["target"]} ran {start["in_flight"]} requests, '
        f'but its limit is {start["limit"]}'
        for start in _select(history, 'start')
        if start['in_flight'] > start['limit']
    ]


def no_caller_error(history: History) -> list[str]:
    """Check that every call succeeds with status 200."""
    return [
        f'{answer["call"]} got {answer["status"]} ({answer["detail"]})'
        for answer in _select(history, 'answer')
        if answer['status'] != 200
    ]


def crashes_contained(history: History) -> list[str]:
    """Check that a request that crashes targets is run by at most two."""
    crashes = collections.Counter(
        event['path']
        for event in _select(history, 'start')
        if event['path'].startswith('/poison')
    )
    return [
        f'{path} was run by {times} targets'
        for path, times in crashes.items()
        if times > 2
    ]


def versions_never_revert(history: History) -> list[str]:
    """Check that fleet versions in force never revert and are unambiguous.

    No process may go back to an earlier version, and one version must be the
    same document at all processes.
    """
    digests_by_version = collections.defaultdict(set)
    violations = []
    by_process = itertools.groupby(
        sorted(
            _select(history, 'fleet_in_force'),
            key=lambda event: (event['process'], event['at']),
        ),
        key=lambda event: event['process'],
    )
    for process, events in by_process:
        process_events = list(events)
        for event in process_events:
            digests_by_version[event['version']].add(event['digest'])
        pairs = itertools.pairwise(event['version'] for event in process_events)
        if any(later < earlier for earlier, later in pairs):
            violations.append(f'{process} reverted to an earlier version')
    violations.extend(
        f'version {version} has {len(digests)} different documents'
        for version, digests in digests_by_version.items()
        if len(digests) > 1
    )
    return violations


def accepted_in_time(history: History) -> list[str]:
    """Check that versions are accepted within ``PROPAGATION_LIMIT``.

    An accepted version is in force everywhere.
    """
    return [
        f'version {event["version"]} took {event["took"]:.2f} s'
        for event in _select(history, 'accepted')
        if event['took'] > PROPAGATION_LIMIT
    ]


def _select(history: History, kind: str) -> Iterable[Event]:
    return (event for event in history if event['event'] == kind)


def _able_since(history: History, answer: Event) -> float:
    """Return when the entry of a call was able to answer it."""
    resumed = (
        event['at']
        for event in _select(history, 'thawed')
        if event['address'] == answer['address']
        and answer['sent_at'] < event['at'] < answer['at']
    )
    return max(resumed, default=answer['sent_at'])


def _was_suspended(history: History, answer: Event) -> bool:
    """Tell whether the entry of a call was suspended while it was running."""
    thawed = [
        event['at']
        for event in _select(history, 'thawed')
        if event['address'] == answer['address']
    ]
    return any(
        frozen['at'] < answer['at']
        and answer['sent_at']
        < min((at for at in thawed if at > frozen['at']), default=math.inf)
        for frozen in _select(history, 'frozen')
        if frozen['address'] == answer['address']
    )


def _answer_violations(answer: Event) -> Iterable[str]:
    if answer['digest'] != answer['wanted_digest']:
        yield 'its body differs from what the target sent'
    # The answer to a key may be replayed; it names the call that ran.
    if not answer['key'] and answer['echo'] != answer['call']:
        yield f'it answers another call, {answer["echo"]}'

"""The follower's part of replication: agree with the leader's log."""

from typing import final

from turmericmast.ids import Index
from turmericmast.replica.messages import (
    Append,
    Entry,
    Install,
)
from turmericmast.replica.state import ReplicaState


@final
class Follower:
    """The follower's part: make the own log agree with the leader's."""

    def __init__(self, state: ReplicaState) -> None:
        """Work on the shared state."""
        self._state = state

    def on_append(self, message: Append) -> None:
        """Take entries when the one before them agrees."""
        state = self._state
        if state.log.snapshot_index > message.prev_index:
            state.send_append_reply(
                message.leader,
                message.sent_at,
                matched=False,
                index=state.log.snapshot_index,
            )
            return
        if state.log.term_at(message.prev_index) != message.prev_term:
            hint = min(message.prev_index - 1, state.log.last_index)
            state.send_append_reply(
                message.leader,
                message.sent_at,
                matched=False,
                index=max(hint, state.log.snapshot_index),
            )
            return
        self._take(message.entries)
        last = Index(message.prev_index + len(message.entries))
        state.commit_to(Index(min(message.commit, last)))
        state.send_append_reply(
            message.leader, message.sent_at, matched=True, index=last
        )

    def on_install(self, message: Install) -> None:
        """Take a snapshot unless the own log already covers it."""
        state = self._state
        snapshot = message.snapshot
        if snapshot.index > state.commit:
            if state.log.is_empty:
                state.store.save_vote(state.vote)
            tail = state.log.compact(snapshot)
            state.store.save_snapshot(snapshot, tail)
            state.commit = snapshot.index
            state.effects.committed.clear()
            state.effects.restored = snapshot
            state.refresh_membership()
        state.send_append_reply(
            message.leader, message.sent_at, matched=True, index=snapshot.index
        )

    def _take(self, entries: tuple[Entry, ...]) -> None:
        state = self._state
        fresh = [
            entry
            for entry in entries
            if state.log.term_at(entry.index) != entry.term
        ]
        if not fresh:
            return
        first = fresh[0].index
        if first <= state.log.last_index:
            state.truncate(first)
        state.append([entry for entry in entries if entry.index >= first])

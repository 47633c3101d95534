"""Log replication on a follower."""

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
    """Applies the leader's entries and snapshots to the own log."""

    def __init__(self, state: ReplicaState) -> None:
        """Use the state shared with the other parts of the replica."""
        self._state = state

    def on_append(self, message: Append) -> None:
        """Append entries if the log contains the entry that precedes them.

        Otherwise the answer carries the index from which the leader retries.
        """
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
        self._append_new(message.entries)
        last = Index(message.prev_index + len(message.entries))
        state.commit_to(Index(min(message.commit, last)))
        state.send_append_reply(
            message.leader, message.sent_at, matched=True, index=last
        )

    def on_install(self, message: Install) -> None:
        """Install a snapshot, unless everything in it is already committed."""
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

    def _append_new(self, entries: tuple[Entry, ...]) -> None:
        state = self._state
        new_entries = [
            entry
            for entry in entries
            if state.log.term_at(entry.index) != entry.term
        ]
        if not new_entries:
            return
        first = new_entries[0].index
        if first <= state.log.last_index:
            state.truncate(first)
        state.append([entry for entry in entries if entry.index >= first])

"""The follower's part of replication: agree with the leader's log."""

from typing import final

from turmericmast.ids import Index
from turmericmast.replica.core import Core
from turmericmast.replica.messages import (
    Append,
    Entry,
    Install,
)


@final
class Following:
    """The follower's part: make the own log agree with the leader's."""

    def __init__(self, core: Core) -> None:
        """Work on the shared state."""
        self._core = core

    def on_append(self, message: Append) -> None:
        """Take entries when the one before them agrees."""
        core = self._core
        if core.log.base > message.prev_index:
            core.answer(
                message.leader,
                message.sent_at,
                matched=False,
                index=core.log.base,
            )
            return
        if core.log.term_at(message.prev_index) != message.prev_term:
            hint = min(message.prev_index - 1, core.log.last_index)
            core.answer(
                message.leader,
                message.sent_at,
                matched=False,
                index=max(hint, core.log.base),
            )
            return
        self._take(message.entries)
        last = Index(message.prev_index + len(message.entries))
        core.commit_to(Index(min(message.commit, last)))
        core.answer(message.leader, message.sent_at, matched=True, index=last)

    def on_install(self, message: Install) -> None:
        """Take a snapshot unless the own log already covers it."""
        core = self._core
        snapshot = message.snapshot
        if snapshot.index > core.commit:
            if core.log.is_empty:
                core.store.save_vote(core.vote)
            tail = core.log.compact(snapshot)
            core.store.save_snapshot(snapshot, tail)
            core.commit = snapshot.index
            core.effects.committed.clear()
            core.effects.restored = snapshot
            core.refresh_membership()
        core.answer(
            message.leader, message.sent_at, matched=True, index=snapshot.index
        )

    def _take(self, entries: tuple[Entry, ...]) -> None:
        core = self._core
        fresh = [
            entry
            for entry in entries
            if core.log.term_at(entry.index) != entry.term
        ]
        if not fresh:
            return
        first = fresh[0].index
        if first <= core.log.last_index:
            core.truncate(first)
        core.append([entry for entry in entries if entry.index >= first])

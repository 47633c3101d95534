"""The replica aggregate: one member of a Raft group."""

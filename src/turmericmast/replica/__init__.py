"""The replica aggregate: one member of a replicated group."""

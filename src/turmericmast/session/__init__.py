"""Sessions of entries: the lease at the entry, the roll at the leader."""

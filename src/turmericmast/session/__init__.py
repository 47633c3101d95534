"""Sessions of entries: the lease at the entry, renewals at the leader."""

"""The ledger aggregate: runs each keyed request at most once."""

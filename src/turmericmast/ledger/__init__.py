"""The ledger aggregate: keyed requests run at most once."""

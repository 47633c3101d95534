"""The cluster aggregate: what the core group keeps for all instances."""

"""The cluster aggregate: state that the core group replicates."""

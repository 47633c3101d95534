"""Stand-ins, load and proofs: the project's own test equipment."""

"""Emulated targets, load generation, benchmarks and failure tests."""

"""Durable storage of a replica in local files."""

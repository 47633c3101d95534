"""The target aggregate."""

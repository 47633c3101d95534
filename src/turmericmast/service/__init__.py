"""The service aggregate."""

"""The web package."""

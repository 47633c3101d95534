"""The programs package."""

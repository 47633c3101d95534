"""The disk package."""

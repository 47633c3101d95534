"""The wire package."""

"""The call aggregate."""

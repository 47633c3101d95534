"""Entries: lease, owned targets and routing of one entry instance."""

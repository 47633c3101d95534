"""Load balancing: which target receives a request."""

"""The edge aggregate: an instance that serves callers by routes."""

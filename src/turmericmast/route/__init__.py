"""The routes that operators configure, and the matching of requests."""

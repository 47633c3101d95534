"""Things that run: a target, and two deployments."""

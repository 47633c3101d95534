"""Rollouts: moving the traffic of a service to targets of another version."""

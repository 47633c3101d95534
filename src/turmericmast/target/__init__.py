"""Targets as their owner tracks them: announcements, limits and health."""

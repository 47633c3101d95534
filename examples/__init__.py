"""A target to try turmericmast with, and two example deployments."""

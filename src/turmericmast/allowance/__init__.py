"""Rate limits of client accounts over all instances."""

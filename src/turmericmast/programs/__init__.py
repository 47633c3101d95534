"""Entry points of the command line programs, and what they share."""

"""turmericmast."""

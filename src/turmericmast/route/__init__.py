"""The routes that operators lay down, and how a request finds its own."""

"""Client accounts: their keys, limits and home regions."""

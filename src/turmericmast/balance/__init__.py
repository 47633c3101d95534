"""Which target a request goes to, decided from what its answers tell."""

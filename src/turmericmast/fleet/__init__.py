"""The fleet aggregate: versioned configuration for all regions."""

"""The fleet aggregate: configuration by defaults and exceptions."""
